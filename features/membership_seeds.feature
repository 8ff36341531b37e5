Feature: Nodes find seeds with few calls to the store
  Scenario: Nodes that start together form one mesh with few writes
    Given 60 nodes that start together with an empty store
    When they run for 40 s
    Then they form one mesh
    And the store took at most 24 writes
    When they run for 120 s
    Then the store took at most 60 calls in the last 120 s

  Scenario: Nodes that all move to new addresses form one mesh despite stale seed lists
    Given 30 nodes that start together with an empty store
    When they run for 30 s
    And all are replaced together by nodes at new addresses
    And they run for 60 s
    Then they form one mesh

  Scenario: Nodes join through seeds from the settings while the store is down
    Given 20 nodes with seeds in their settings while the store is down
    When they run for 20 s
    Then they form one mesh

  Scenario: Two meshes that formed separately merge through the store
    Given 2 regions of 10 nodes that formed separate meshes and share a store
    When they run for 90 s
    Then they form one mesh

  Scenario: A node paused before its write does not overwrite a newer list
    Given 12 nodes that start together with an empty store
    When they run for 30 s
    And a node writes the list after another has changed it
    Then the list is as the other node wrote it

  Scenario: Nodes recover from lost store answers and malformed lists
    Given 12 nodes that start together with an empty store
    When store answers are lost and a list is overwritten with malformed data
    And they run for 150 s
    Then they form one mesh
    And the lists name only running nodes
