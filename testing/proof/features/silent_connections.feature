Feature: A connection that went silent is found, and its requests have a true outcome

  Background:
    Given a fleet with 3 balancers and 2 hosts a service

  Scenario: The fabric forgets callers in both directions
    Given 2 callers of each service send requests
    When 1 seconds pass
    And the fabric forgets all present callers of order-desk
    And 15 seconds pass
    And the callers stop
    Then every request has a true outcome
    And no order runs twice

  Scenario: The fabric forgets callers in one direction
    Given 2 callers of each service send requests
    When 1 seconds pass
    And the fabric forgets how to reach the present callers of order-desk
    And 15 seconds pass
    And the callers stop
    Then every request has a true outcome
    And no order runs twice
