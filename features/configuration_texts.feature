Feature: Operators' texts
  Scenario: Any document comes back the same through every language
    Then documents written in one language read the same in another and back
    And a decimal comma in a flow list is quoted and the comment stays

  Scenario: Nothing that an operator can write breaks the reader
    Then broken and hostile texts are refused with a place and a cause

  Scenario Outline: A mistake is named with its place and what to write instead
    When the template line "<line>" is read as "<wrong>" in "<language>"
    Then the refusal names line <number> and "<instead>" and nothing changes

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

  Scenario: Each cause can be brought about or is walked in every language
    Then every kind and cause renders in every language without its markers

  Scenario: A parameter's value can't reach beyond its place
    Then hostile values of a text parameter are refused or stay one segment
