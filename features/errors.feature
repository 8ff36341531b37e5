Feature: The table of error kinds
  Scenario: Every kind has an answer
    When the table of answers is read
    Then every kind has a status, an outcome and an exit code
