Feature: An upstream holds a lease on the node beside it
  @soak
  Scenario: The lease is fenced whatever the order, lateness and pauses
    When upstreams announce, drain, pause, repeat and replace each other at random
    Then no invariant of the lease was broken

  Scenario: An upstream that falls silent is withdrawn after 3 s
    Given an upstream that announced itself as ready
    When 3 s pass at the desk without an announcement
    Then the desk offers no upstream even before its next tick
    And the others are told that the endpoint is gone

  Scenario: A node paused past the lease offers nothing when it wakes
    Given an upstream that announced itself as ready
    When the desk's node is paused for 60 s
    Then the desk offers no upstream even before its next tick

  Scenario: Load alone is told rarely
    Given an upstream that announced itself as ready
    When it announces a new load each second for 300 s
    Then the others are told at most 6 times

  Scenario: Load is told the more rarely the more members hear it
    Given an upstream that announced itself as ready among 760 members
    When it announces a new load each second for 300 s
    Then the others are told at most 2 times

  Scenario: Malformed announcements are refused with a reason
    When announcements with wrong, missing, repeated and foreign fields are parsed
    Then each is refused as a bad request
    And a good one is taken whole
