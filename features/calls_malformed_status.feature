Feature: An answer whose status is malformed is never passed on as an answer

  Scenario Outline: An upstream sends malformed statuses
    Given two nodes in the <dialect> dialect, one of them beside an upstream
    When calls that enter at <entry> get malformed statuses <place>
    Then each of these calls fails with 502, without the upstream's fields or body
    And no call that may not run twice reached the upstream twice
    And the next call on the same node gets its own answer

    Examples:
      | dialect  | entry           | place                                           |
      | native   | the owner       | on a new connection                             |
      | native   | the other node  | on a new connection                             |
      | native   | the owner       | on a kept connection after a good answer        |
      | native   | the other node  | on a kept connection after a good answer        |
      | native   | the owner       | behind interim answers on a new connection      |
      | native   | the other node  | behind interim answers on a kept connection     |
      | platform | the owner       | on a new connection                             |
      | platform | the other node  | on a new connection                             |
      | platform | the owner       | on a kept connection after a good answer        |
      | platform | the other node  | on a kept connection after a good answer        |
      | platform | the owner       | behind interim answers on a new connection      |
      | platform | the other node  | behind interim answers on a kept connection     |

  Scenario: A node sends a malformed status to another node
    When a node's answer between nodes has a status outside 200 to 599
    Then the frame is rejected
