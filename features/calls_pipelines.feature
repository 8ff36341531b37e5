Feature: HTTP pipelining on connections of callers

  Scenario: Pipelined requests run concurrently and are answered in order
    Given an upstream that answers later requests first
    When a caller pipelines three lookups on one connection
    Then all three ran at the same time and the answers arrive in order

  Scenario: No answer follows one that closes the connection
    Given an upstream that answers later requests first
    When a caller pipelines a lookup after one with "Connection: close"
    Then it gets the answers up to that one and the connection is closed

  Scenario: All pipelined requests of a caller that hangs up are cancelled
    Given an upstream that hangs
    When a caller pipelines three lookups and hangs up
    Then all their slots are released

  Scenario: A booking with a body between pipelined lookups
    Given an upstream that answers later requests first
    When a caller pipelines a lookup, a booking with a body and a lookup
    Then the three answers arrive in order and each request ran once

  # Two greenlets wrote to one connection: answers were dropped, and the caller took the
  # next one for its own (review/6).
  Scenario: A caller that reads slowly gets every answer, in order
    Given an upstream whose second answer is larger than a connection takes at once
    When a caller pipelines six lookups and reads nothing until all have run
    Then it gets the six answers in order, each whole

  Scenario: Answers that end in any order while any write blocks are written in order
    When 200 seeded pipelines get answers in random order over a connection that blocks
    Then each connection got the answers whole and in order, by one writer at a time

  Scenario: A large answer of an earlier request is not interrupted by a 100 Continue
    Given an upstream whose second answer is larger than a connection takes at once
    When a caller pipelines two lookups and a booking that expects a 100 Continue
    Then it gets both answers whole, then the 100 Continue, and the booking's answer

  Scenario: A malformed request is refused behind the pending answers
    Given an upstream whose second answer is larger than a connection takes at once
    When a caller pipelines three lookups and a malformed request, and reads late
    Then it gets the three answers whole, then the refusal, and the connection is closed

  # Without an end, an answer held up all later ones of its connection.
  Scenario: An answer that ends with an unexpected error closes the connection
    Given an upstream whose second answer is larger than a connection takes at once
    And the node fails at the end of the second answer
    When a caller pipelines six lookups and reads nothing until all have run
    Then it gets a beginning of the answers, in order, and the connection is closed
    And the node has counted the answers that it dropped
