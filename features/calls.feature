Feature: Calls through the nodes

  Scenario: Calls are answered by the local upstream or by that of another node
    Given nodes "a" and "b" of one service
    When calls go through "a" to each of them
    Then each call gets its own complete answer
    And a service without endpoints is refused as not run
