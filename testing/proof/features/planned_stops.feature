Feature: A planned stop cuts no request and a leaving upstream gets no new work

  Background:
    Given a fleet with 3 balancers and 3 hosts a service

  Scenario: Requests of many lengths are in flight while their host drains
    When download long of order-desk starts and lasts 8 seconds
    And download middle of order-desk starts and lasts 3 seconds
    And 6 orders of 1000 ms to order-desk start
    And 0.4 seconds pass
    And the host of long starts to drain
    And the host of middle starts to drain
    Then the outcome of middle is answered
    And the outcome of long is answered
    And the host of long ends with exit code 0
    And every begun request has a true outcome
    And no request has an unknown outcome

  Scenario: A leaving host gets no new work although a balancer is frozen
    Given 4 callers of each service send requests
    When download sheet of order-desk starts and lasts 9 seconds
    And balancer 1 is frozen
    And the host of sheet starts to drain
    And 2 seconds pass
    And balancer 1 wakes
    And 1 seconds pass
    Then no run starts on the host of sheet for 4 seconds
    And the outcome of sheet is answered
    When the callers stop
    Then every request has a true outcome
    And no request has an unknown outcome
    And the host of sheet ends with exit code 0

  Scenario: The instance list lags behind a drain
    Given 4 callers of each service send requests
    When the instance list lags by 20 seconds
    And download sheet of order-desk starts and lasts 9 seconds
    And the host of sheet starts to drain
    And 3 seconds pass
    And 60 orders of 10 ms to order-desk start
    Then no run starts on the host of sheet for 4 seconds
    And the outcome of sheet is answered
    When the callers stop
    Then every begun request has a true outcome
    And no request has an unknown outcome
    And the host of sheet ends with exit code 0

  Scenario: Every host is replaced in turn under load
    Given 1 feeds of order-desk are open
    And 3 callers of each service send requests
    When every host of order-desk is replaced in turn
    And the callers stop
    Then no feed is broken
    And every request has a true outcome
    And no request has an unknown outcome
    And every planned stop ended with exit code 0
