Feature: An operator's commands against a running node

  Background:
    Given a store and a node as processes

  Scenario: A change from the first edit to its roll-back
    When the folder "examples/clubs" is loaded by "Lan" in "vi"
    Then the command ends with 0 and says "phiên bản 1"
    And the status in "vi" waits for version 1 and names "lichbay"
    And the status in "fr" waits for version 1 and names "lichbay"
    And a booking is refused as "no-endpoint" and "no" run, in "vi"
    When customer "song-han" is shown in "fr" and accepted back by "Yann"
    Then the command ends with 0 and says "version 2"
    When version 1 is rolled back to by "Lan" in "en"
    Then the command ends with 0 and says "version 3"
    And the versions list 3 versions by "Lan", "Yann" and "Lan"

  Scenario: What goes wrong has its own exit code and changes nothing
    When the folder "examples/clubs" is loaded by "Lan" in "vi"
    Then the command ends with 0 and says "phiên bản 1"
    And these commands end so
      | command                                                     | code | says            |
      | template check dat-san <bad template> --language=vi         | 3    | dòng 2          |
      | template edit dat-san <bad template> --operator=An          | 3    | Write instead   |
      | template edit dat-san <bad template> --language=fr          | 2    | opérateur       |
      | customer edit cuu-long <customer> --operator=An --base=00ff | 4    | Lan             |
      | customer show nobody --language=fr                          | 6    | nobody          |
      | versions --languag=fr                                       | 2    | language        |
      | nodes --admin_url=http://127.0.0.1:9                        | 5    | 127.0.0.1:9     |
      | roll_back 77 --operator=An                                  | 6    | 77              |
    And the versions list 1 versions by "Lan"
    When customer "cuu-long" gets a new host twice by the same change of "An"
    Then the versions list 2 versions by "Lan" and "An"
    When the store stops answering
    Then these commands end so
      | command                                                     | code | says            |
      | customer edit cuu-long <customer> --operator=An             | 5    |                 |
      | nodes                                                       | 0    | only            |

  Scenario: Of two nodes with one name one stops by itself and says so
    When a second node of the same name starts
    Then one of the two ends with 4 and its log names the node, the other runs on
