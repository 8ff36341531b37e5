Feature: Changes in the store reach nodes quickly, also after an outage

  Scenario Outline: A change is received soon after an outage of the store
    Given a subscription to a store that is <kind> for <seconds> s
    When the outage starts at different moments of a watch
    Then a change made at the end of the outage is received within 2.5 s of it or 4 s of the end of the outage

    Examples:
      | kind    | seconds |
      | silent  | 1.5     |
      | silent  | 4.5     |
      | silent  | 8       |
      | refused | 4.5     |

  Scenario: A series of changes is read in few calls
    Given a subscription to a store with a change every 0.2 s for 5 s
    When the subscription follows the changes
    Then it receives the last change within 2.5 s and makes at most 12 calls

  Scenario Outline: A node follows the changes of any number of members in few calls
    Given <members> members, one of which changes every 0.1 s
    When a node follows the members for 20 s
    Then it makes at most <calls> calls and knows each change within <late> s

    Examples:
      | members | calls | late |
      | 12      | 60    | 1.0  |
      | 71      | 20    | 2.5  |
      | 760     | 12    | 2.5  |

  Scenario: A node's own record is never replaced by what an earlier process stored
    Given a directory that holds this node's record
    When the store delivers the record that an earlier process of the node wrote
    Then the directory still holds the current record

  Scenario: Only the newest version is read after an outage and in a burst of changes
    Given a store whose configuration changes 10 times in an outage and 25 times in a burst
    When a node on a slow link follows it
    Then it reads the configuration once after the outage and at most twice a second in the burst
    And it has the newest version within 2.5 s of the end of the outage and of the burst

  Scenario: A write that the store applies late doesn't overwrite a later one
    Given a store that applies the first write of a member's record late
    When the record changes before the late write is applied
    Then the store holds the later record

  Scenario: Only the newest valid record of a member counts
    Given records that are out of order, malformed or under another member's key
    When a directory receives them all
    Then it holds the newest record of each member and none of the invalid ones

  Scenario: The end of an instance's cold start costs no write
    Given a node whose instance has just started
    When the instance becomes warm, drains and is replaced by another
    Then the node writes its record once for each but the first
    And another node counts the instance as cold for 3 s only

  Scenario Outline: An answer of the store that never ends is given up
    Given a store whose answers never end, <speed>
    When a node reads an object and watches it
    Then both calls fail within bounds and the node reads again when the store answers

    Examples:
      | speed |
      | fast  |
      | slow  |

  # A watch after many changes brings each whole object; the node kept up to 64 MB of it.
  Scenario: A watch whose answer is too large for the node's memory becomes a list
    Given a store whose watches answer with 32 MB, and a node of 64 MB
    When the node watches the configuration
    Then it gets the objects, and took at most 12 MB of the answer

  Scenario: An answer without end of the product's own store is given up
    Given a store of the product's own whose answers never end
    When a client reads an object of it
    Then the read fails, and the client took at most 80 MB of the answer
