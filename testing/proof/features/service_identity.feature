Feature: A packet never reaches a service other than its own

  Background:
    Given a fleet with 3 balancers and 2 hosts a service

  Scenario: An address goes to a host of another service within a second
    Given 4 callers of each service send requests
    When 1 seconds pass
    And host 1 of order-desk dies and pattern-library takes its address
    And 60 orders of 10 ms to order-desk start
    And 4 seconds pass
    And the callers stop
    Then every begun request has a true outcome
    And nothing reached another service

  Scenario: A balancer is frozen while an address changes its service
    Given 4 callers of each service send requests
    When 1 seconds pass
    And balancer 1 is frozen
    And host 1 of order-desk dies and pattern-library takes its address
    And balancer 1 wakes
    And 60 orders of 10 ms to order-desk start
    And 4 seconds pass
    And the callers stop
    Then every begun request has a true outcome
    And nothing reached another service
