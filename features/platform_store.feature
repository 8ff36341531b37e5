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

  Scenario: A write that the store does late can't undo a later one
    Given a member's record whose first write is done late
    When the record changes meanwhile
    Then the store holds the later one

  Scenario: Only the newest revision of a member counts
    Given a directory that hears records out of order and from another writer
    When it has heard them all
    Then it holds the newest of each and nothing of the other writer
