Feature: An answer counts only for the call that it answers

  Scenario Outline: An upstream sends an earlier refusal again ahead of an answer
    Given a node beside an upstream, in the <dialect> dialect
    When a refusal that names <named> precedes the answer to a call on a kept connection
    Then the call is not reported as not run, and gets <status>

    Examples:
      | dialect  | named           | status |
      | native   | no call         | 502    |
      | native   | an earlier call | 200    |
      | platform | no call         | 502    |
      | platform | an earlier call | 200    |

  Scenario Outline: An upstream's refusal of this call is passed on
    Given a node beside an upstream, in the <dialect> dialect
    When a call on a <connection> connection is refused, naming <named>
    Then the call is reported as not run

    Examples:
      | dialect  | connection | named     |
      | native   | new        | no call   |
      | native   | kept       | this call |
      | platform | new        | no call   |
      | platform | kept       | this call |

  Scenario: A call that an upstream refused before is sent on a new connection
    Given a node beside an upstream, in the platform dialect
    When a call that was refused before comes again while a connection is kept
    Then it is sent on a new connection, where no earlier refusal can arrive
