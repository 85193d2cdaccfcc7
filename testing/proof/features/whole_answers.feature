Feature: A caller gets the whole answer to its own request

  Background:
    Given a fleet with 3 balancers and 2 hosts a service

  @ci
  Scenario: Packets are lost, doubled and reordered
    Given 3 callers of each service send requests
    When the fabric loses, doubles and reorders 5% of all packets
    And 5 seconds pass
    And the fabric is sound again
    And the callers stop
    Then every request has a true outcome
    And nothing reached another service
    And no order runs twice

  Scenario: Packets are late and out of order
    Given 3 callers of each service send requests
    When the fabric delays packets by 40 ms and reorders 20%
    And 5 seconds pass
    And the fabric is sound again
    And the callers stop
    Then every request has a true outcome
    And no order runs twice

  Scenario: Balancers are split into two halves that both serve
    Given 3 callers of each service send requests
    When callers are split between balancer 1 and the others
    And 5 seconds pass
    And the fabric is sound again
    And the callers stop
    Then every request is answered whole
    And nothing reached another service

  Scenario: An upstream dies in the middle of its answers
    Given 3 callers of each service send requests
    When 6 orders of 1500 ms to order-desk start
    And 0.7 seconds pass
    And the upstream of host 1 of order-desk is killed
    And 3 seconds pass
    And the callers stop
    Then every begun request has a true outcome
    And no order runs twice
