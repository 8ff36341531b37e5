Feature: A failed call leaves lines that lead to its cause

  Scenario: Each failure of a call has its line with what decided it
    Given a node beside an upstream whose log is kept
    When calls fail in each way that a call can fail
    Then each has a line with its id, its kind and what decided it

  Scenario: Lines are bounded and what is left out is counted
    Given a node beside an upstream whose log is kept
    When a thousand calls fail within a second
    Then no more lines are written than the bound and the rest is counted

  Scenario: Of ordinary calls each node logs the same ones
    Given ten thousand ids of calls
    When two nodes choose which to log
    Then they choose the same, about one in 256
