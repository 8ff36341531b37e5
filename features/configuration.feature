Feature: Configuration texts in each operator's language
  Scenario: Accept a change, show it in each language and compile it
    Given an empty store
    When an operator submits a template and a customer in Vietnamese
    Then the accepted version compiles to the customer's routes
    And the template translated to any language translates back to the original text

  Scenario: Every message is in the catalogue of every language
    Then every catalogue has exactly the messages that the code uses, with the same fields

  Scenario Outline: Accept an example deployment as one version
    When the folder "<folder>" is submitted in "<language>"
    Then its <customers> customers have routes to exactly the services in its places file
    And its places file lists <endpoints> endpoints in 6 data centres
    And each text translated to any language translates back to the original

    Examples:
      | folder   | language | customers | endpoints |
      | clubs    | vi       | 3         | 12        |
      | le-bihan | fr       | 3         | 13        |

  Scenario: The YAML library is not loaded unless texts are parsed
    When a process imports the compiler, the operations and the messages
    Then neither the YAML library nor Babel is loaded
