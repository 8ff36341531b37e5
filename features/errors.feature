Feature: One closed list of error kinds
  Scenario: Every kind has an answer
    When the whole table of answers is walked
    Then every kind has a status, an outcome and an exit code
