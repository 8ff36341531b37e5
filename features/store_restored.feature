Feature: Nothing that was confirmed is lost when the store comes back from an older copy

  Scenario Outline: A version confirmed after the store came back older is put in force
    Given the platform's store, an endpoint and a node beside it
    When the store comes back older <times> times and the configuration changes after each
    Then the node has the newest version each time

    Examples:
      | times |
      | 1     |
      | 3     |

  Scenario: A node's record that the store lost is written again
    Given the platform's store, an endpoint and a node beside it
    When the store comes back from a copy made before the node's record was written
    Then the store holds the node's record again

  Scenario: Nodes that follow others get what was confirmed after the store came back older
    Given a store and 12 running nodes of one data centre
    When the store comes back from an older copy and the configuration changes
    Then every node has the last configuration

  Scenario: A record that a node has replaced since doesn't count again
    Given a directory that knows an instance as draining by its node's second record
    When the store delivers the first record of that node again, and then a third one
    Then the instance gets no calls after the first record and the third one counts

  Scenario: A node that starts after the store came back older learns what its source knows
    Given a source that knew a later version and a later record than the store now holds
    When a node that starts then follows the source and the store
    Then it holds the later version and the later record
    And what the store holds next in the same era counts

  Scenario: A list from before the return doesn't keep a lost record from being written
    Given a node's record that was stored and listed, and then lost with the store's return
    When the record changes before a list of the new era is known
    Then the store holds the changed record after at most 4 calls

  Scenario: A number that the store gives out again isn't taken for the one before
    Given a client of the platform's store that has read an object at some revision
    When the store comes back older and gives the same number to another write
    Then a write on the condition of the old revision is never reported as done
    And a watch from the old revision returns everything with revisions of the new era

  Scenario: An era that can't be read makes the answer invalid, and none keeps the last
    Given a client of the platform's store that has read an object at some revision
    When answers name the era 3, none, "x" and a number too large
    Then the first two are taken for era 3 and the others are failures

  Scenario: A change is accepted after the product's own store came back older
    Given an empty store
    When an operator's second change is lost with the store's return and a third follows
    Then the third is accepted as version 3 and the second is still shown

  # The store came back without a departure, and the node that had confirmed it restarted.
  Scenario: A new process is told a departure that only other nodes remember
    Given 6 nodes that have seen a seventh one confirm a departure
    When its new process writes a record without it, and one of those that tell it fails
    Then two of them have told it once, and the third one goes on trying for 30 s
    And the instance's late heartbeat is refused by the process that was told

  Scenario: A departure that only the store had seen is kept by another node
    Given a node that confirms a departure, and one of its three keepers answers
    When the store loses it before any node has seen it, and the node starts anew
    Then the one that keeps it tells the new process

  Scenario: A record that names the departure again needs no telling
    Given 6 nodes that have seen a seventh one confirm a departure
    When its new process writes a record without it and then one with it
    Then no node tells it anything

  Scenario: Malformed words about departures are refused
    When a node gets malformed words about its departures
    Then each is refused, and nothing is learnt
