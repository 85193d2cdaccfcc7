Feature: An established feed or download survives every planned change

  Background:
    Given a fleet with 3 balancers and 2 hosts a service
    And 2 feeds of order-desk are open
    And 1 feeds of pattern-library are open

  Scenario: Every balancer is replaced in turn under load
    Given 2 callers of each service send requests
    When every balancer is replaced in turn
    And the callers stop
    Then no feed is broken
    And every feed goes on within 5 seconds
    And every request is answered whole
    And every planned stop ended with exit code 0

  Scenario: The host of a feed drains under load
    Given 2 callers of each service send requests
    When host 1 of order-desk drains
    And the callers stop
    Then no feed is broken
    And every feed goes on within 5 seconds
    And every request has a true outcome
    And no request has an unknown outcome
    And every planned stop ended with exit code 0

  Scenario: A balancer is killed while callers of feeds are silent
    When balancer 1 is killed
    And 3 seconds pass
    Then no feed is broken
    And every feed goes on within 5 seconds

  Scenario: Two of three balancers are killed together
    When balancer 1 is killed
    And balancer 2 is killed
    And 4 seconds pass
    Then no feed is broken
    And every feed goes on within 5 seconds

  Scenario: A balancer is frozen and wakes late
    Given 2 callers of each service send requests
    When balancer 1 is frozen
    And 5 seconds pass
    And balancer 1 wakes
    And 2 seconds pass
    And the callers stop
    Then no feed is broken
    And every request has a true outcome
    And nothing reached another service

  Scenario: Nothing from one balancer reaches callers any more
    When nothing from balancer 2 reaches callers
    And 3 seconds pass
    Then no feed is broken
    And every feed goes on within 5 seconds

  Scenario: The platform is down while a balancer is killed
    When the platform goes down
    And balancer 1 is killed
    And 3 seconds pass
    Then no feed is broken
    And every feed goes on within 5 seconds
