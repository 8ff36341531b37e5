Feature: Settings, logs, the administration API and the public names

  Scenario Outline: A bad setting is refused with its name, value and what is allowed
    When the setting "<name>" is given as "<value>"
    Then it is refused and the refusal names "<shown>", "<value>" and "<allowed>"

    Examples:
      | name        | value     | shown         | allowed                         |
      | http_port   | 70000     | http_port     | a number from 0 to 65535        |
      | http_port   | abc       | http_port     | a number                        |
      | http_prot   | 1         | --http_prot   | http_port (nearest known name)  |
      | host        | localhost | host          | an IP address                   |
      | language    | de        | language      | vi, fr or en                    |
      | log_level   | loud      | log_level     | debug, info, warning, error     |

  Scenario: Flags take precedence over the environment and secrets are masked
    When a port and a token are set in the environment and the port by a flag
    Then the flag's port is in force and the token is shown masked

  Scenario: No value can add a line or a pair to the log
    Then every value in a log line is one token that can be parsed back

  Scenario: The administration API refuses invalid requests
    Given an administration API with a token
    Then a request without the token is refused as "unauthorized"
    And an edit without an operator is refused as "operator-missing"
    And an unknown path is refused as "not-found"
    And a wrong method is refused as "method-not-supported"
    And an oversized body is refused as "body-too-large"
    And an error in a handler is answered as "internal" and the next request is served
    And an operator's name in any script is received unchanged

  Scenario: The library can be used without a node
    Then every public name loads
    And the example "examples/embedded.py" prints "modèle: dat-san"

  Scenario Outline: Help is shown for a command with the settings it takes
    When the command line is called with "<arguments>"
    Then it shows "<shown>" and every setting with its default, and ends with success

    Examples:
      | arguments       | shown                            |
      | node --help     | Run the node of an upstream      |
      | status -h       | comfreytray status               |
      | --help          | configuration for a service mesh |
