Feature: Call streams between nodes

  @soak
  Scenario: Many calls on one connection that is lost at a random time
    When calls are opened, answered in any order and cancelled, and the connection is lost
    Then each call gets its own complete answer or a correct outcome
    And no call is delivered twice

  Scenario: A connection that is lost after any number of bytes
    When the connection of 2 calls is lost at each byte sent and 500 points of the answers
    Then only calls that the owner never received are reported as not run

  Scenario: Malformed and out-of-order frames
    When frames are malformed, repeated, reordered or forged
    Then the connection is refused with a reason and no further call is run

  Scenario: Many small frames that wait to be sent take little more memory than their bytes
    Given an outbox whose peer reads nothing
    When 100000 pongs are queued
    Then the outbox holds less than three times their bytes and sends them in order
