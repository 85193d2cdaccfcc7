Feature: An order that may not be repeated runs at most once

  Background:
    Given a fleet with 3 balancers and 3 hosts a service

  @ci
  Scenario: A repeat on another connection gets the stored answer
    When order first with key K1 to order-desk starts and takes 20 ms
    Then the outcome of first is answered
    When order second repeats first on another connection
    Then the outcome of second is answered
    And key K1 ran 1 time

  Scenario: The first host dies before the repeat
    When order first with key K1 to order-desk starts and takes 20 ms
    Then the outcome of first is answered
    When the agent of host 1 of order-desk is killed
    And the agent of host 2 of order-desk is killed
    And the agent of host 3 of order-desk is killed
    And the agent of host 1 of order-desk starts again
    And the agent of host 2 of order-desk starts again
    And order second repeats first on another connection
    Then the outcome of second is unknown
    And key K1 ran 1 time

  Scenario: Agents are killed while orders run
    Given 4 callers of each service send requests
    When 1 seconds pass
    And the agent of host 1 of order-desk is killed
    And 2 seconds pass
    And the agent of host 1 of order-desk starts again
    And 2 seconds pass
    And the callers stop
    Then every request has a true outcome
    And no order runs twice

  Scenario: An agent is frozen and wakes late
    Given 4 callers of each service send requests
    When 1 seconds pass
    And the agent of host 1 of order-desk is frozen
    And 6 seconds pass
    And the agent of host 1 of order-desk wakes
    And 2 seconds pass
    And the callers stop
    Then every request has a true outcome
    And no order runs twice
