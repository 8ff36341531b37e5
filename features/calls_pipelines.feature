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
