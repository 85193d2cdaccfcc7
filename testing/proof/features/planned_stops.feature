Feature: A planned stop cuts no request and a leaving upstream gets no new work

  Background:
    Given a fleet with 3 balancers and 3 hosts a service

  Scenario: Requests of many lengths are in flight while their host drains
    When request short to order-desk starts and takes 100 ms
    And request middle to order-desk starts and takes 1000 ms
    And request long to order-desk starts and takes 2500 ms
    And 0.4 seconds pass
    And host 1 of order-desk drains
    And host 2 of order-desk drains
    Then the outcome of short is answered
    And the outcome of middle is answered
    And the outcome of long is answered
    And every planned stop ended with exit code 0

  Scenario: A leaving host gets no new work although a balancer is frozen
    Given 4 callers of each service send requests
    When balancer 1 is frozen
    And host 1 of order-desk drains
    And balancer 1 wakes
    Then no new run starts on host 1 of order-desk 3 seconds later
    When the callers stop
    Then every request has a true outcome
    And no request has an unknown outcome

  Scenario: The instance list lags behind a drain
    Given 4 callers of each service send requests
    When the instance list lags by 20 seconds
    And host 1 of order-desk drains
    Then no new run starts on host 1 of order-desk 3 seconds later
    When the callers stop
    Then every request has a true outcome
    And no request has an unknown outcome

  Scenario: Every host is replaced in turn under load
    Given 1 feeds of order-desk are open
    And 3 callers of each service send requests
    When every host of order-desk is replaced in turn
    And the callers stop
    Then no feed is broken
    And every request has a true outcome
    And no request has an unknown outcome
    And every planned stop ended with exit code 0
