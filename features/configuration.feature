Feature: Configuration in each operator's own language
  Scenario: A change is accepted, shown in three languages and compiled
    Given an empty store
    When a template and a customer are accepted in Vietnamese
    Then the version compiles to the customer's routes
    And each language shows the template and comes back the same

  Scenario: Every message has a text in every language
    Then no catalogue lacks a kind, a cause, a word or a message of the code
