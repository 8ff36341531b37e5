Feature: Bodies share a thin link in turns, and small calls don't wait behind them

  Scenario: Many bodies for one link are asked for one after the other
    Given a link of 5 Mbit/s and 20 nodes with a body of 60 KB each
    When all of them are announced at once, with 4 s left
    Then no more than 0.2 s of the link are under way at any time
    And each body that is not refused is received in time, and the link is never idle

  Scenario: A body that would be late is refused before any of it is sent
    Given a link of 5 Mbit/s and 40 nodes with a body of 60 KB each
    When all of them are announced at once, with 1 s left
    Then the refused ones are told when the link has room, and none of their bytes came

  Scenario Outline: A turn that is given up goes to the next body
    Given a link of 5 Mbit/s that is in use, and two bodies that wait for it
    When the first one <ends>
    Then the second one gets its turn, and nothing stays under way in the end

    Examples:
      | ends                       |
      | is cancelled               |
      | reaches its deadline       |
      | is cancelled in its turn   |

  Scenario: A body of 300 KB arrives whole by way of its owner, and may be retried
    Given two nodes with links of 5 Mbit/s, the second one beside the upstream
    When a body of 300 KB is sent to the first one, and the upstream refuses it once
    Then the upstream gets it whole, and nothing is reserved in the end
