Feature: An answer whose head was cut is never passed on as a whole one

  Scenario Outline: An upstream closes its connection at each byte of an answer's head
    Given two nodes in the <dialect> dialect, one of them beside an upstream
    When calls enter at either node and the answer, with <framing>, is cut at each byte
    Then no call gets a success, whole or not
    And an answer that wasn't cut is passed on whole

    Examples:
      | dialect  | framing   |
      | native   | a length  |
      | native   | chunks    |
      | platform | a length  |
      | platform | chunks    |
      | platform | its close |
