Feature: What the store says is in force again soon after any outage

  Scenario Outline: A silent store is heard again soon after it is back
    Given a subscription to a store that is <kind> for <seconds> s
    When the outage starts at each moment of the waiting call
    Then a change made at the store's return is heard within 2.5 s of it or 4 s of the outage's end

    Examples:
      | kind    | seconds |
      | silent  | 1.5     |
      | silent  | 4.5     |
      | silent  | 8       |
      | refused | 4.5     |

  Scenario: A series of changes is read as few
    Given a subscription to a store with a change each 0.2 s for 5 s
    When it follows them
    Then it hears the last one in time and makes at most 12 calls

  Scenario Outline: Changes of members cost each node few calls, however many there are
    Given <members> members of whom one changes each 0.1 s
    When a node follows them for 20 s
    Then it makes at most <calls> calls and knows each change within <late> s

    Examples:
      | members | calls | late |
      | 12      | 60    | 1.0  |
      | 71      | 20    | 2.5  |
      | 760     | 12    | 2.5  |

  Scenario: A node's own record is never replaced by what an earlier process stored
    Given a directory that holds this node's record
    When the store brings the record of an earlier process of the node
    Then the directory still holds its own

  Scenario: Only the newest version is read after an outage and in a storm
    Given a store whose configuration changes 10 times in an outage and 25 times in a storm
    When a node on a slow link follows it
    Then it reads the configuration once after the outage and at most twice a second
    And it has the newest within 2.5 s of the outage and of the storm

  Scenario: A write that the store does late can't undo a later one
    Given a member's record whose first write is done late
    When the record changes meanwhile
    Then the store holds the later one

  Scenario: Only the newest revision of a member counts
    Given a directory that hears records out of order and from another writer
    When it has heard them all
    Then it holds the newest of each and nothing of the other writer
