@processes
Feature: Promises kept by real processes through kills, freezes and planned stops

  Scenario: A node beside an upstream is killed while bookings run
    Given a fleet of 3 nodes with an upstream beside each
    And callers that book at two of the nodes and repeat what is unknown by its key
    When the third node is killed while its upstream runs a booking
    Then the callers end
    And no booking ran twice and each whole answer belongs to its own request
    And each booking that was refused as not run is in no upstream's log

  Scenario: The callers' node is killed while bookings run
    Given a fleet of 3 nodes with an upstream beside each
    And callers that book at two of the nodes and repeat what is unknown by its key
    When the first node is killed while its upstream runs a booking
    Then the callers end
    And no booking ran twice and each whole answer belongs to its own request
    And each booking that was refused as not run is in no upstream's log

  Scenario: A node is frozen past every timeout and wakes up
    Given a fleet of 3 nodes with an upstream beside each
    And callers that book at two of the nodes and repeat what is unknown by its key
    When the third node is stopped by a signal until the others hold it for dead
    And it continues
    Then all nodes see each other again
    And the callers end
    And no booking ran twice and each whole answer belongs to its own request
    And each booking that was refused as not run is in no upstream's log

  Scenario: The store goes down and comes back
    Given a fleet of 3 nodes with an upstream beside each
    And callers that read at two of the nodes
    When the store goes down
    Then an edit is refused as "store-unavailable" and reads are still answered
    When the store comes back
    Then an edit is in force on every node and no node has moved back
    And the callers end
    And every call has had its whole answer

  Scenario: A node stops as planned under load
    Given a fleet of 3 nodes with an upstream beside each
    And callers that read at two of the nodes
    When the first node is asked to stop
    Then it ends with exit code 0
    And the callers end
    And no call was cut off

  Scenario: An upstream leaves under load
    Given a fleet of 3 nodes with an upstream beside each
    And callers that read at two of the nodes
    When the third upstream is asked to leave and no node lists it any more
    Then it runs no new call from then on
    And it ends with exit code 0
    And the callers end
    And every call has had its whole answer
