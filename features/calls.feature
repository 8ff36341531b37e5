Feature: Calls through the nodes

  Scenario: A call is answered beside the caller's node or beside another
    Given nodes "a" and "b" of one service
    When calls go through "a" to each of them
    Then each call gets its own whole answer
    And a service without endpoints is refused as not run
