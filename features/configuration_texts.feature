Feature: Parsing and translating operators' texts
  Scenario: Translation between languages keeps a document
    Then documents are unchanged by a translation to another language and back
    And a decimal comma in a flow mapping is quoted and the comment is kept

  Scenario: Malformed and hostile texts are refused
    Then malformed and hostile texts are refused with a line and a cause

  Scenario Outline: A refusal names the line of the mistake and what to write instead
    When the template line "<line>" is replaced by "<wrong>" in the "<language>" text
    Then the refusal names line <number> and "<instead>" and nothing is stored

    Examples:
      | language | line                       | wrong                             | number | instead                 |
      | vi       | mẫu: t                     | mấu: t                            | 1      | Hãy viết: mẫu.          |
      | vi       | mẫu: t                     | modèle: t                         | 1      | Hãy viết: mẫu.          |
      | vi       |     thời hạn: 2 giây       |     thời hạn: 2 secondes          | 8      | Hãy viết: 2 giây.       |
      | vi       |     thời hạn: 2 giây       |     thời hạn: 1.500 giây          | 8      | “1.500 giây”            |
      | vi       |     thời hạn: 2 giây       |     thời hạn: $(hạnn)             | 8      | Hãy viết: $(hạn).       |
      | vi       |     thời hạn: 2 giây       |     thời hạn: 900 giây            | 8      | 300 giây                |
      | vi       |     dịch vụ: lichbay       |     dịch vụ: Lịch bay             | 6      | Lịch bay                |
      | fr       |     méthodes: [GET]        |     méthodes: [GETT]              | 7      | Écrivez : GET.          |
      | fr       |     délai: 2 s             |     délai: 2 giây                 | 8      | Écrivez : 2 s.          |
      | fr       |     chemin: /a             |     chemin: /a/../b               | 5      | /a/../b                 |
      | fr       |     chemin: /a             |     chemin: &x /a                 | 5      | les ancres              |
      | en       |     service: lichbay       |     service: !!python/name:os.x y | 6      | tags (!)                |
      | en       | template: t                | template: other                   | 1      | Write instead: t.       |

  Scenario: Every kind of failure and every cause has a text in every language
    Then every kind and cause has a text without placeholders in every language

  Scenario: A text parameter can't add segments to a path
    Then hostile values of a text parameter in a path are refused as a bad path

  Scenario: A damaged stored document never compiles to invalid routes
    Then damaged stored documents are refused or compile to routes within the limits
