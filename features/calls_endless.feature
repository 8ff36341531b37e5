Feature: Answers that never end hold up no other call

  Scenario Outline: An upstream sends <kind> without end
    Given a node beside an upstream whose answers may never end
    When a call of 1 s gets <kind> without end, <speed>, while other calls come
    Then the other calls are answered
    And the call fails without a complete answer, and its connection is closed
    And the node holds at most 16 MB more than before

    Examples:
      | kind          | speed |
      | status-line   | fast  |
      | header-line   | fast  |
      | headers       | fast  |
      | blanks        | fast  |
      | blank-headers | fast  |
      | interim       | fast  |
      | chunk-size    | fast  |
      | chunks        | fast  |
      | trailers      | fast  |
      | body          | fast  |
      | long-body     | fast  |
      | other-answers | fast  |
      | other-answer  | fast  |
      | junk          | fast  |
      | status-line   | slow  |
      | header-line   | slow  |
      | headers       | slow  |
      | blanks        | slow  |
      | interim       | slow  |
      | chunk-size    | slow  |
      | chunks        | slow  |
      | trailers      | slow  |
      | body          | slow  |
      | long-body     | slow  |
      | other-answers | slow  |
      | other-answer  | slow  |

  # One such answer stopped the node beside its upstream for minutes (review/1).
  Scenario Outline: An upstream breaks an answer off behind blanks
    Given a node beside an upstream whose answers may never end
    When a call of 1 s gets <kind> and then the end of the connection, while others come
    Then the other calls are answered
    And the call fails without a complete answer, and its connection is closed

    Examples:
      | kind       |
      | cut-blanks |
      | cut-value  |

  Scenario: A peer that sends without end and reads nothing is disconnected
    Given a node beside an upstream whose answers may never end
    When a process sends pings to the node without end, while other calls come
    Then the other calls are answered
    And the process is disconnected
    And the node holds at most 64 MB more than before
