Feature: Acceptance under faults and racing operators
  @soak
  Scenario: Accepted changes stand, refused ones never show
    Then operators race through faults of the store and every promise holds

  Scenario: An answer that was lost is recognised after others went on
    Given a version that is accepted
    When a change's answer is lost and two others accept theirs before it reads back
    Then all three changes are accepted once, in one order

  Scenario: The loser of a race reads who changed what and keeps its text
    Given a version that is accepted
    When two operators edit the same customer in French and in Vietnamese
    Then the loser is told in Vietnamese and its text comes back

  Scenario: Store calls for a change
    Given a version that is accepted
    Then an edit costs 1 read and 5 writes, a body over a megabyte is split

  Scenario: A roll-back that meets another change is refused and loses nothing
    Given a version that is accepted
    When a roll-back is overtaken by an edit of another item
    Then the roll-back is refused and the edit stands

  Scenario Outline: Garbage collection beside a roll-back leaves it whole
    Given a version that is accepted
    And 8 more versions
    When <one> is interrupted at "<call>" of "<key>" by <other>
    Then the roll-back is accepted and whole

    Examples:
      | one        | call   | key                 | other      |
      | a clean-up | delete | configuration/blobs | a roll-back |
      | a roll-back | put    | configuration/head  | a clean-up |

  Scenario: A template that would break its customers is refused
    Given a version that is accepted
    Then a template that needs one more parameter is refused by name of the customer

  Scenario: The history and its blobs stay bounded
    Given a version that is accepted
    When 60 changes are accepted while 8 versions are kept
    Then at most 12 versions and their blobs are there and the newest is whole

  Scenario: Names that can't be read or stored are refused
    Given a version that is accepted
    Then an edit without an operator, in no language or with a long id changes nothing
