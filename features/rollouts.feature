Feature: Roll-outs of a new version of a service

  Scenario: Versions of instances are known from heartbeats to records
    When heartbeats and records state a version, none or an odd one
    Then a version is kept, all else is empty, and the records stay readable

  Scenario: Roll-outs are on only where the contract is in the settings
    When settings have the contract, lack it or name other bounds
    Then only those with it have bounds of roll-outs

  Scenario: A status is written under the condition of the object's revision
    Given the platform's store with an order
    When a status is written with the present and with an older revision
    Then only the first is stored, and the feed's value has order and status

  Scenario: Malformed messages, orders and statuses are refused
    When random bytes come in place of a report, a grant and an order
    Then each is refused without an exception

  Scenario Outline: A bad version is rolled back within its bounds
    Given 60 nodes with <rate> calls a second
    When a version that is <fault> is rolled out
    Then it is rolled back before its time limit
    And its calls keep to the bounds

    Examples:
      | fault                     | rate |
      | failing at once           | 150  |
      | failing at once           | 25   |
      | failing every call        | 600  |
      | failing after 4 s         | 150  |
      | failing after 7 s         | 600  |
      | failing on a rare route   | 150  |
      | failing on a usual route  | 25   |
      | slow                      | 150  |
      | slow in two calls of five | 150  |
      | failing under load        | 150  |
      | slow under load           | 600  |

  Scenario: A version isn't blamed for answers that are a few milliseconds late
    When one answer in six of a version is 2 ms late where half a millisecond is usual
    Then nothing tells against it
    When they are 20 ms late
    Then it is clearly bad

  Scenario Outline: A good version is completed in time
    Given 60 nodes with <rate> calls a second
    When a version that is <kind> is rolled out
    Then it is completed before its time limit
    And calls go on without a gap

    Examples:
      | kind                             | rate |
      | good                             | 25   |
      | good                             | 150  |
      | good                             | 600  |
      | good on machines that pause      | 150  |
      | failing one call in two hundred  | 600  |

  Scenario: The decider ends and another node takes over
    Given 60 nodes with 150 calls a second
    When the decider is killed 4 s after an order for a good version
    Then it is completed before its time limit
    And the status has a later generation

  Scenario: The decider of a bad version ends before the status is written
    Given 60 nodes with 150 calls a second
    When the decider is killed as it rolls back a bad version
    Then it is rolled back before its time limit
    And its calls keep to the bounds

  Scenario: Nodes beyond a partition stop by themselves
    Given 60 nodes with 150 calls a second
    When a third of the nodes is cut off from the others 3 s after an order
    Then those send nothing to the new version 2 s later
    And its calls keep to the bounds

  Scenario: A decider that was paused returns and is fenced
    Given 60 nodes with 150 calls a second
    When the decider is paused for 4 s and returns
    Then one decider is left and all status writes have rising generations
    And it is completed before its time limit

  Scenario: A node whose monotonic clock stood still uses no old grant
    Given 60 nodes with 150 calls a second
    When a node is suspended for 6 s with a grant in hand
    Then it sends nothing to the new version when it wakes

  Scenario: The store is down when the status is due
    Given 60 nodes with 150 calls a second
    When the store is down for 2 s as a good version is due
    Then it is completed before its time limit

  Scenario: A bad version stops although the store is down
    Given 60 nodes with 150 calls a second
    When the store is down from 1 s after an order for a bad version
    Then no call goes to it 5 s after the order
    And it is rolled back once the store is back

  Scenario Outline: A status write is <fault>
    Given 60 nodes with 150 calls a second
    When the <which> status write is <fault>
    Then it is completed before its time limit
    And each state is stored once

    Examples:
      | which | fault      |
      | first | lost       |
      | first | unanswered |
      | last  | lost       |
      | last  | unanswered |

  Scenario: A second order replaces the first
    Given 60 nodes with 150 calls a second
    When another version is ordered 3 s after the first order
    Then the second order is decided by itself and the first has no status

  Scenario: A version that was rolled back stays without calls under a later order
    Given 60 nodes with 150 calls a second
    When another version is ordered after a roll-back
    Then a node that starts then sends no call to the version of before

  Scenario: There is no upstream of the ordered version
    Given 60 nodes with 150 calls a second
    When a version without upstreams is ordered
    Then it is rolled back before its time limit

  Scenario: The upstreams of the old version end during a roll-out
    Given 60 nodes with 150 calls a second
    When the old upstreams end 3 s after an order for a good version
    Then it is completed before its time limit

  Scenario: A bad version keeps to the bounds where the old upstreams are gone
    Given 60 nodes with 150 calls a second
    When a bad version is ordered and the old upstreams are gone
    Then it is rolled back before its time limit
    And its calls keep to the bounds

  Scenario: Versions play no part without an order
    Given 60 nodes with 150 calls a second
    When calls come without an order
    Then both versions get calls and the store gets none

  Scenario: A failed call is repeated at the old version
    Given 60 nodes with 150 calls a second
    When a call that went to the new version is repeated
    Then no repeat goes to the new version

  Scenario: A node on the platform carries out an order by itself
    Given the platform's store, an endpoint of version v2 and a node with roll-outs
    When the operator orders v2 while calls come
    Then calls beyond the share are refused until the status is completed
    When the operator orders v3, which has no upstream
    Then the status is rolled back and calls go on

  Scenario Outline: The store comes back without the status of an order that has ended
    Given 60 nodes with 150 calls a second
    When the store comes back without the status after a <kind> version was <end>
    Then the order is not opened again and its end is written again

    Examples:
      | kind | end         |
      | good | completed   |
      | bad  | rolled_back |

  Scenario: The store comes back without the status of an order that goes on
    Given 60 nodes with 150 calls a second
    When the store comes back without the status before a version turns bad
    Then it is rolled back before its time limit
    And its calls keep to the bounds

  Scenario Outline: Two nodes on the platform carry out an order together
    Given the platform's store and nodes with upstreams of v1 and of a <kind> v2
    When the operator orders v2 while calls come to the node of v1
    Then the status is <state> and v2 has <got> calls

    Examples:
      | kind | state       | got     |
      | good | completed   | further |
      | bad  | rolled_back | no more |
