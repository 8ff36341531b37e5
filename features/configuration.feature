Feature: Configuration in each operator's own language
  Scenario: A change is accepted, shown in three languages and compiled
    Given an empty store
    When a template and a customer are accepted in Vietnamese
    Then the version compiles to the customer's routes
    And each language shows the template and comes back the same

  Scenario: Every message has a text in every language
    Then no catalogue lacks a kind, a cause, a word or a message of the code

  Scenario Outline: The example deployment is accepted as one version
    When the folder "<folder>" is accepted in "<language>"
    Then its <customers> customers route only to the services of its places
    And its places hold <endpoints> endpoints in 6 data centres
    And every text comes back the same from each language

    Examples:
      | folder   | language | customers | endpoints |
      | clubs    | vi       | 3         | 12        |
      | le-bihan | fr       | 3         | 13        |

  Scenario: Nodes and commands load the YAML library only to read texts
    When a process imports the compiler, the operations and the messages
    Then neither the YAML library nor Babel is loaded
