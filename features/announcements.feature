Feature: An upstream holds a lease on the node beside it
  @soak
  Scenario: No order of announcements, delays and pauses lets an old instance back in
    When upstreams announce, drain, pause, repeat and replace each other at random
    Then no invariant of the lease was broken

  Scenario: An upstream that stops announcing itself is withdrawn after 3 s
    Given an upstream that announced itself as ready
    When 3 s pass without an announcement
    Then the lease holds no upstream even before its next tick
    And the withdrawal of the endpoint is published

  Scenario: A node that resumes after the lease expired offers no upstream
    Given an upstream that announced itself as ready
    When the node is paused for 60 s
    Then the lease holds no upstream even before its next tick

  Scenario: Changes of load alone are published rarely
    Given an upstream that announced itself as ready
    When it announces a new load each second for 300 s
    Then at most 6 updates are published

  Scenario: Changes of load are published more rarely in a larger mesh
    Given an upstream that announced itself as ready among 760 members
    When it announces a new load each second for 300 s
    Then at most 2 updates are published

  Scenario: Malformed announcements are refused with a reason
    When announcements with wrong, missing, repeated and unknown fields are parsed
    Then each is refused as a bad request
    And a valid one is parsed with all its fields
