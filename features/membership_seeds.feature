Feature: Nodes find their first peers through few store calls
  Scenario: A fleet that starts at once forms one mesh with few writes
    Given 60 nodes that start at once with an empty store
    When they run for 40 s
    Then they form one mesh
    And the store took at most 24 writes
    When they run for 120 s
    Then the store took at most 60 calls in the last 120 s

  Scenario: A fleet that is replaced at once finds itself in spite of stale lists
    Given 30 nodes that start at once with an empty store
    When they run for 30 s
    And all are replaced at once by nodes at new addresses
    And they run for 60 s
    Then they form one mesh

  Scenario: Nodes start through the settings while the store is down
    Given 20 nodes with peers in their settings while the store is down
    When they run for 20 s
    Then they form one mesh

  Scenario: Two meshes that never met merge through the store
    Given 2 regions of 10 nodes that started apart and see the same store
    When they run for 90 s
    Then they form one mesh

  Scenario: A node paused before its write changes nothing when it wakes
    Given 12 nodes that start at once with an empty store
    When they run for 30 s
    And a node's write comes after the list has changed
    Then the list is as the others left it

  Scenario: Lost answers and malformed lists do no harm
    Given 12 nodes that start at once with an empty store
    When answers are lost and a list is overwritten with garbage
    And they run for 150 s
    Then they form one mesh
    And the lists name only running nodes
