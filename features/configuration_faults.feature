Feature: Acceptance under store faults and concurrent operators
  @soak
  Scenario: Accepted changes are never lost and refused ones never appear
    Then random concurrent operations under store faults keep all invariants

  Scenario: A head update of unknown outcome is found below newer versions
    Given a store with one accepted version
    When a head update's answer is lost and two others make changes before it is read
    Then the three changes are accepted once each, as versions 3, 4 and 5

  Scenario: A conflict tells who changed the item and returns the text
    Given a store with one accepted version
    When two operators edit the same customer in French and in Vietnamese
    Then the second operator gets a conflict in Vietnamese with the submitted text

  Scenario: Number of store calls for a change
    Given a store with one accepted version
    Then an edit takes 1 read and 5 writes, and a body over a megabyte is split

  Scenario: A roll-back conflicts with a concurrent edit
    Given a store with one accepted version
    When another item is edited just before a roll-back updates the head
    Then the roll-back fails as a conflict and the edit is the newest version

  Scenario Outline: Garbage collection during a roll-back keeps its blobs
    Given a store with one accepted version
    And 24 more versions
    When <first> is interrupted before a "<call>" of "<key>" by <second>
    Then the roll-back is the newest version and all its blobs are in the store

    Examples:
      | first                | call   | key                 | second               |
      | a garbage collection | delete | configuration/blobs | a roll-back          |
      | a roll-back          | put    | configuration/head  | a garbage collection |

  Scenario: A template change that breaks its customers is refused
    Given a store with one accepted version
    Then a template with a new required parameter is refused, naming a customer without it

  Scenario: The number of versions and blobs stays bounded
    Given a store with one accepted version
    When 60 changes are accepted while 8 versions are kept
    Then at most 12 versions and their blobs remain and the newest is complete

  Scenario: Invalid operators, languages and change ids are refused
    Given a store with one accepted version
    Then requests with an invalid operator, language or change id change nothing
