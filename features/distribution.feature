Feature: Complete versions reach every node in order, in spite of faults

  Scenario: No mix of faults rolls a node back, shows it a part or splits the fleet
    Given simulated fleets under random sequences of faults
    Then the versions of each node only rise, and all nodes end at the newest

  @soak
  Scenario: A long random run of faults breaks none of these guarantees
    Given a simulated fleet under a long random run of faults
    Then the versions of each node only rise, and all nodes end at the newest

  Scenario: A change is sent from region to region once, as a difference
    Given a converged fleet of 100 nodes
    When 5 small changes are accepted, on the nodes in turn
    Then the bytes between regions are at least 20 times fewer than for full sets
    And at most 1000 bytes are sent between regions for each change
    And no change took more than 2 seconds

  Scenario: A change is in force within 8 seconds although all its relays die
    Given a converged fleet of 60 nodes
    When a change is accepted and the nodes that would relay it die at once
    Then all nodes have the newest version within 8 seconds

  Scenario: Other nodes replace the relays of a region that die
    Given 3 converged fleets of 100 nodes
    When a change is accepted in each and the children of the region roots die
    Then all nodes have the newest version within 2 seconds on average

  Scenario: A region that was cut off catches up while the store is down
    Given a converged fleet of 30 nodes
    When a change is accepted in a partition that ends after the store goes down
    Then all nodes have the newest version within 8 seconds
    And at most 4000 bytes were sent between the regions

  Scenario: New nodes start while the store is down
    Given a converged fleet of 20 nodes
    When the store goes down and 15 nodes are replaced
    Then all nodes have the newest version within 8 seconds
    And the store got at most 1 calls a second for each watcher

  Scenario: When all nodes restart at once, few call the store
    Given a converged fleet of 100 nodes
    When all nodes restart at once
    Then all nodes have the newest version within 8 seconds
    And the blobs read from the store are at most those of 8 full sets
    And at most 4 nodes watched the store

  Scenario: No node exceeds its send budget when a whole fleet fetches a large set
    Given a converged fleet of 40 nodes with a set of 400 kilobytes
    When all nodes but 2 restart at once
    Then all nodes have the newest version within 12 seconds
    And no node sent more than its burst and 23 kilobytes a second

  Scenario: Wrong, replayed and forged messages change nothing
    Given a converged fleet of 4 nodes
    When random valid, forged and damaged messages are sent to a node
    Then it still holds the same version, and the next version reaches it

  Scenario: A version that does not compile leaves the old one in force and is reported
    Given a converged fleet of 12 nodes
    When a version that does not compile is accepted
    Then the version before it stays in force on all nodes
    And the status names every node as refused with the reason

  Scenario: The status counts the lagging nodes and says why, without store writes
    Given a converged fleet of 12 nodes
    When one node freezes, another ignores all versions, and a change is accepted
    Then the status of the change counts 10 of 12 and names both nodes with the reason
    And older reports that arrive late do not change it
    And nothing was written to the store for the status

  Scenario: The lifecycle of a version follows its state chart
    Given a converged fleet of 2 nodes
    When 3 changes are accepted one after another
    Then only the newest version has a state, which is in force

  Scenario: Blobs that no version needs any more are dropped
    Given a converged fleet of 6 nodes
    When 20 small changes are accepted, on the nodes in turn
    Then some minutes later each node holds the blobs of the newest version only

  Scenario: A replayed trace applies the versions that it recorded
    Given the recorded trace of a node through a partition, a freeze and a kill
    When it is replayed as recorded, with each message doubled, and in random orders
    Then the first two apply 1, 3, 4, 5, 6 and 7, and the others only rise
