Feature: Answers that nobody takes yet are bounded for the whole node

  # One answer without end, sent ahead of its turn, took the node beyond its memory
  # (review/7).
  Scenario Outline: Answers without end wait for their turn (<kind>, <beside> node)
    Given a node beside an upstream whose answers may never end
    And another node without it
    When a caller of the <beside> node sends a late lookup and two with <kind> without end
    Then the other calls are answered
    And the node holds at most 16 MB more than before
    And it holds nothing more once the callers have left

    Examples:
      | kind      | beside  |
      | chunks    | same    |
      | chunks    | another |
      | body      | same    |
      | body      | another |
      | long-body | same    |
      | long-body | another |

  # The owner passes on nothing of an answer before it has 256 KB or the end. One in chunks
  # of a byte has neither at the deadline: the owner and the entry, if that is another
  # node, give it up at the same moment, and either may be first.
  Scenario Outline: An answer that is given up before its turn does not cost the others
    Given a node beside an upstream whose answers may never end
    And another node without it
    When a caller of the <beside> node sends a late lookup, one with <kind> without end and a third
    Then it gets 200, <failure> and 200 on one connection

    Examples:
      | beside  | kind      | failure    |
      | same    | long-body | 502        |
      | another | long-body | 502        |
      | same    | chunks    | 502        |
      | another | chunks    | 502 or 504 |

  # An answer that is ready is sent, also when late.
  Scenario Outline: A whole answer that waits beyond its deadline is still sent
    Given a node beside an upstream whose answers may never end
    And another node without it
    When a caller of the <beside> node sends a late lookup and one of 200 KB for 1 s
    Then it gets both answers whole on one connection

    Examples:
      | beside  |
      | same    |
      | another |

  Scenario: Callers that read nothing take no more memory than the node has for answers
    Given two nodes, of which one has 2 MB for answers
    When 24 callers of that node ask for large answers and read nothing
    Then it never holds more than 2 MB for them
    And a caller that reads gets its answers
    And it holds nothing more once the callers have left

  Scenario: Callers of HTTP/1.0 take no more memory than the node has for answers
    Given two nodes, of which one has 2 MB for answers
    When 24 callers of HTTP/1.0 of that node ask for answers of unknown length
    Then it never holds more than 2 MB for them
    And it holds nothing more once the callers have left

  # The refusal in place of a cut answer stayed counted where its caller had left.
  Scenario: An answer that is given up after its connection has closed holds nothing
    When a connection closes and then its two pending answers are given up and end
    Then nothing is held for them

  Scenario: The largest holder gives up its bytes, and the sum is kept
    When 200 seeded holders take and release bytes at random
    Then no sum exceeded its limit, and each time the largest was given up

  Scenario: A peer that reads nothing does not fill the memory for outboxes
    When frames for 8 peers that read nothing are queued beyond the limit
    Then only connections of peers that held most are closed, and the sum is kept
