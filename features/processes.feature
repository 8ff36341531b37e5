@processes
Feature: Guarantees of real processes through kills, suspensions and planned stops

  Scenario: A node beside an upstream is killed while bookings run
    Given a fleet of 3 nodes with an upstream beside each
    And callers that book at two of the nodes and repeat calls of unknown outcome by key
    When the third node is killed while its upstream runs a booking
    Then all callers finish
    And no booking ran twice and each whole answer belongs to its own request
    And each booking that was refused as not run is in no upstream's log

  Scenario: The callers' node is killed while bookings run
    Given a fleet of 3 nodes with an upstream beside each
    And callers that book at two of the nodes and repeat calls of unknown outcome by key
    When the first node is killed while its upstream runs a booking
    Then all callers finish
    And no booking ran twice and each whole answer belongs to its own request
    And each booking that was refused as not run is in no upstream's log

  Scenario: A node is suspended past every timeout and resumes
    Given a fleet of 3 nodes with an upstream beside each
    And callers that book at two of the nodes and repeat calls of unknown outcome by key
    When the third node is suspended until the others consider it dead
    And it is resumed
    Then all nodes see each other again
    And all callers finish
    And no booking ran twice and each whole answer belongs to its own request
    And each booking that was refused as not run is in no upstream's log

  Scenario: The store goes down and comes back
    Given a fleet of 3 nodes with an upstream beside each
    And callers that read at two of the nodes
    When the store goes down
    Then an edit is refused as "store-unavailable" and reads are still answered
    When the store comes back
    Then an edit is in force on every node and no node goes back to an older version
    And all callers finish
    And every call has got its whole answer

  Scenario: A node stops as planned under load
    Given a fleet of 3 nodes with an upstream beside each
    And callers that read at two of the nodes
    When the first node is asked to stop
    Then it ends with exit code 0
    And all callers finish
    And no call was cut off

  Scenario: An upstream leaves under load
    Given a fleet of 3 nodes with an upstream beside each
    And callers that read at two of the nodes
    When the third upstream is asked to leave and no node lists it any more
    Then it runs no new call from then on
    And it ends with exit code 0
    And all callers finish
    And every call has got its whole answer
