Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Background:
    Given a fleet with 3 balancers and 2 hosts a service
    And the revisions in force are noted

  @ci
  Scenario: A change is published while feeds are open
    Given 1 feeds of order-desk are open
    When revision 2 of order-desk is published with a retry share of 0.2
    Then 1 more revision of order-desk is in force within 15 seconds
    And no feed is broken

  Scenario: An older revision is published again
    When revision 3 of order-desk is published with a retry share of 0.2
    Then 2 more revisions of order-desk are in force within 15 seconds
    When revision 2 of order-desk is published with a retry share of 0.3
    Then no revision of order-desk is lower 3 seconds later

  Scenario: Quick successive revisions
    When revision 2 of order-desk is published with a retry share of 0.2
    And revision 3 of order-desk is published with a retry share of 0.3
    And revision 4 of order-desk is published with a retry share of 0.4
    And revision 5 of order-desk is published with a retry share of 0.5
    Then 4 more revisions of order-desk are in force within 15 seconds

  Scenario: An invalid revision leaves the last good one in force
    Given 2 callers of each service send requests
    When an invalid revision 2 of order-desk is published
    And 2 seconds pass
    And the callers stop
    Then no revision of order-desk is lower 1 seconds later
    And every request is answered whole

  Scenario: A balancer that starts while the platform is stale
    When revision 2 of order-desk is published with a retry share of 0.2
    Then 1 more revision of order-desk is in force within 15 seconds
    When the platform serves old records
    And revision 3 of order-desk is published with a retry share of 0.3
    And balancer 1 is killed
    And balancer 1 starts again
    Then 1 more revision of order-desk is in force within 15 seconds
    When the platform is sound again
    Then 2 more revisions of order-desk are in force within 15 seconds

  Scenario: The platform is down while requests are served
    Given 2 callers of each service send requests
    And 1 feeds of order-desk are open
    When the platform goes down
    And 5 seconds pass
    And the platform is sound again
    And revision 2 of order-desk is published with a retry share of 0.2
    Then 1 more revision of order-desk is in force within 15 seconds
    When the callers stop
    Then every request is answered whole
    And no feed is broken

  Scenario: A balancer that was frozen during a change catches up
    When balancer 1 is frozen
    And revision 2 of order-desk is published with a retry share of 0.2
    And 3 seconds pass
    And balancer 1 wakes
    Then 1 more revision of order-desk is in force within 15 seconds

  Scenario: A balancer that starts while the platform serves an older revision
    When revision 2 of order-desk is published with a retry share of 0.2
    Then 1 more revision of order-desk is in force within 15 seconds
    When revision 1 of order-desk is published
    And balancer 1 is killed
    And balancer 1 starts again
    Then 1 more revision of order-desk is in force within 15 seconds
    And no revision of order-desk is lower 2 seconds later

  Scenario: The status tells whether the fleet has converged
    When revision 2 of order-desk is published with a retry share of 0.2
    Then the status shows convergence within 15 seconds
    When the agent of host 1 of order-desk is killed
    Then the status names host 1 of order-desk within 60 seconds
