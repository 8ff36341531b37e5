Feature: Call streams between nodes

  @soak
  Scenario: Many calls on one connection that is cut at random
    When calls are opened, answered in any order, cancelled, and the connection is cut
    Then each answer is whole and the call's own, or its outcome is true
    And no call is delivered twice

  Scenario: A connection cut after each of its bytes
    When one call's connection is cut after each byte in each direction
    Then "did not run" is said only of calls that the owner never saw

  Scenario: Malformed and hostile frames
    When frames are broken, repeated, reordered or made up
    Then the connection is refused with a reason and nothing is run
