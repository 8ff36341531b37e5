Feature: An operator's commands against a running node

  Background:
    Given an object store and a node as processes

  Scenario: A configuration is loaded, edited and rolled back
    When the folder "examples/clubs" is loaded by "Lan" in "vi"
    Then the command exits with code 0 and prints "phiên bản 1"
    And status 1 --wait in "vi" succeeds and prints "lichbay"
    And status 1 --wait in "fr" succeeds and prints "lichbay"
    And a call is refused as "no-endpoint" with ran "no" and a message in "vi"
    When "Yann" shows customer "song-han" in "fr" and submits the shown text
    Then the command exits with code 0 and prints "version 2"
    When "Lan" rolls back to version 1 in "en"
    Then the command exits with code 0 and prints "version 3"
    And the command versions lists 3 versions by "Lan", "Yann" and "Lan"

  Scenario: Each kind of failure has its own exit code and changes nothing
    When the folder "examples/clubs" is loaded by "Lan" in "vi"
    Then the command exits with code 0 and prints "phiên bản 1"
    And these commands exit with the code and print the text
      | command                                                     | code | prints          |
      | template check dat-san <bad template> --language=vi         | 3    | dòng 2          |
      | template edit dat-san <bad template> --operator=An          | 3    | Write instead   |
      | template edit dat-san <bad template> --language=fr          | 2    | opérateur       |
      | customer edit cuu-long <customer> --operator=An --base=00ff | 4    | Lan             |
      | customer show nobody --language=fr                          | 6    | nobody          |
      | versions --languag=fr                                       | 2    | language        |
      | nodes --admin_url=http://127.0.0.1:9                        | 5    | 127.0.0.1:9     |
      | roll_back 77 --operator=An                                  | 6    | 77              |
    And the command versions lists 1 versions by "Lan"
    When "An" submits a new host of customer "cuu-long" twice with one change id
    Then the command versions lists 2 versions by "Lan" and "An"
    When the object store fails
    Then these commands exit with the code and print the text
      | command                                                     | code | prints          |
      | customer edit cuu-long <customer> --operator=An             | 5    |                 |
      | nodes                                                       | 0    | only            |

  Scenario: Of two nodes with the same id, one exits and logs why
    When a second node with the same id starts
    Then one of the two exits with code 4 and logs the id; the other keeps running

  Scenario: An operator lists what is held back and lets it go
    Given an upstream beside the node whose process ends under one path
    When the folder "examples/clubs" is loaded by "Lan" in "vi"
    And that path is called until the call is refused as "request-held"
    Then the command holds lists it with 3 ends, and a repetition is refused, not run
    And these commands exit with the code and print the text
      | command                                                 | code | prints                |
      | release 77 --operator=An                                | 6    | 77                    |
      | release r00112233445566778899aabbccddeeff --operator=An | 6    | r0011                 |
    When "An" releases it by the name that is listed
    Then nothing is held back any more and the path is tried again
