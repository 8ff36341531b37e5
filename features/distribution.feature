Feature: Versions reach every node, whole and in order, through faults

  Scenario: No mix of faults moves a node back, shows it a part, or parts it for good
    Given fleets under any sequence of faults
    Then each node's versions only rise, and all end at the newest

  @soak
  Scenario: A long run of mixed faults keeps every promise
    Given a fleet under a long random run of faults
    Then each node's versions only rise, and all end at the newest

  Scenario: A change crosses between regions once, as a difference
    Given a calm fleet of 100 nodes
    When 5 small changes are accepted, each at some node
    Then the bytes across regions are at least 20 times under full sets
    And at most 1000 bytes cross for each change
    And no change took more than 2 seconds

  Scenario: A change is in force within 8 seconds though every relay for it dies
    Given a calm fleet of 60 nodes
    When a change is accepted and the nodes that would relay it die at once
    Then all nodes have it within 8 seconds

  Scenario: Others stand in at once for the relays of a region that die
    Given 3 calm fleets of 100 nodes
    When a change is accepted in each and the roots' children die at once
    Then all nodes have it within 2 seconds in the mean

  Scenario: A region that was cut off catches up with the store down
    Given a calm fleet of 30 nodes
    When the regions part, a change is accepted, the store goes down and they meet
    Then all nodes have it within 8 seconds
    And at most 4000 bytes crossed between the regions

  Scenario: New nodes start while the store is down
    Given a calm fleet of 20 nodes
    When the store goes down and 15 nodes are replaced
    Then all nodes have it within 8 seconds
    And the store was asked at most 1 times a second for each watcher

  Scenario: Everyone restarts at once and few ask the store
    Given a calm fleet of 100 nodes
    When all nodes restart at once
    Then all nodes have it within 8 seconds
    And at most 8 nodes read blobs from the store
    And at most 4 nodes watched the store

  Scenario: No node sends more than its budget when a whole fleet fetches a large set
    Given a calm fleet of 40 nodes with a set of 400 kilobytes
    When all nodes but 2 restart at once
    Then all nodes have it within 12 seconds
    And no node sent more than its burst and 23 kilobytes a second

  Scenario: Wrong, replayed and forged messages apply nothing
    Given a calm fleet of 4 nodes
    When any messages are sent to a node
    Then it holds what it held, and the next version reaches it

  Scenario: A version that does not compile leaves the old one in force and is named
    Given a calm fleet of 12 nodes
    When a version that does not compile is accepted
    Then all nodes keep the version before it
    And the status names every node as refused with the reason

  Scenario: The status says how many nodes lag and why, with no store write
    Given a calm fleet of 12 nodes
    When a node freezes, a node never hears, and a change is accepted
    Then the status of the change counts 10 of 12 and names both and why
    And reports that arrive late change nothing of it
    And nothing was written to the store for the status

  Scenario: The lifecycle of a version follows its chart file
    Given a calm fleet of 2 nodes
    When a change is accepted and overtaken
    Then only the newest version has a state, and it is in force

  Scenario: Blobs that no version needs any more are dropped
    Given a calm fleet of 6 nodes
    When 20 small changes are accepted, each at some node
    Then each node holds the blobs of the newest version only, some minutes later

  Scenario: A recorded trace applies the versions that it is stated to apply
    Given the recorded trace of a node through a cut, a freeze and a kill
    When it is replayed as recorded, with each message doubled, and in other orders
    Then the first two apply 1, 3, 4, 5, 6 and 7, and the others only rise
