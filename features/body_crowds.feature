Feature: Callers whose bodies stop short don't take the memory from others

  # Of 20 to 44 calls with 2 bytes, 1 to 3 were served beside such a crowd.
  Scenario Outline: Small bodies are served beside a crowd of <bodies> bodies that stop short
    Given a node beside an upstream, and its neighbour
    When 40 callers of <entry> stop just short of the end of <bodies> bodies
    And 24 ordinary calls with a body of 2 bytes are made to it
    Then each ordinary call is served
    And nothing is held once the crowd has hung up

    Examples:
      | bodies   | entry        |
      | large    | the node     |
      | chunked  | the node     |
      | large    | its neighbour |
      | chunked  | its neighbour |

  Scenario Outline: A body that is stuck gives way to one that moves (<entry>)
    Given a node beside an upstream, and its neighbour
    When 4 callers of <entry> that are stuck fill its memory for large bodies
    And a whole large body is sent to it
    Then it is served, and a stuck caller gets 408 as not run and no other answer
    And nothing is held once the crowd has hung up

    Examples:
      | entry         |
      | the node      |
      | its neighbour |

  Scenario: Half-received bodies don't wait for each other in a full pool
    Given a node beside an upstream, and its neighbour
    When 3 callers send bodies of 1 MiB by turns to a pool of 2 MiB
    Then the first two are served, and the last is refused as not run
    And nothing is held once the crowd has hung up

  Scenario Outline: A body of another node that is stuck gives way to one that moves
    Given a node beside an upstream, and its neighbour
    When 4 bodies of <size> bytes from its neighbour are stuck and fill the node's memory
    And a whole large body comes from its neighbour
    Then it is served, and a stuck body is refused as <outcome>
    And nothing is held once the bodies were cut

    Examples: one that is received before its call runs, and one that is passed on
      | size      | outcome               |
      | 262144    | overloaded, ran no    |
      | 4194304   | body-cut, ran unknown |

  # Its end stood behind bytes that were not read before it had a slot.
  Scenario Outline: A body that waits for its turn gives its memory back as its caller <leaves>
    Given a node beside an upstream that stops reading
    When 12 callers, more than there are slots, send large bodies in part
    And the callers that wait for a slot <leave>
    Then the node holds only what the others need

    Examples:
      | leaves  | leave  |
      | hangs up | hang up |
      | resets  | reset  |

  Scenario Outline: Who gives way in a full pool (<newcomer>, <holders>)
    Given a pool of 8 units and a reserve of 2 that is held by <holders>
    When <newcomer> needs <units> units
    Then <shed> gives way

    Examples: seconds since the last byte
      | holders                                   | newcomer     | units | shed              |
      | large 4 at 0, large 3 at 0                | a large one  | 1     | nobody            |
      | large 4 at 0, large 4 at 0                | a small one  | 1     | nobody            |
      | large 4 at 0, large 4 at 0, small 1 at 0  | a small one  | 1     | nobody            |
      | large 4 at 0, large 4 at 2                | a large one  | 1     | the newcomer      |
      | large 4 at 4, large 4 at 9                | a large one  | 1     | the second one    |
      | large 2 at 4, large 6 at 9                | a large one  | 7     | both              |
      | large 8 received                          | a large one  | 1     | the newcomer      |
      | large 4 received, large 4 at 3            | a large one  | 1     | the second one    |
      | large 4 at 0, large 4 at 0                | the first    | 1     | the second one as overloaded |
      | large 4 at 0, large 4 at 0                | the second   | 1     | the newcomer      |
      | large 4 at 0, large 4 passed on at 0      | the first    | 1     | the newcomer      |
      | large 4 at 0, large 4 passed on at 4      | the first    | 1     | the second one    |
      | large 4 at 0, large 4 trickling           | a large one  | 1     | the second one    |
      | large 8 at 0, small 2 at 0                | a small one  | 1     | the newcomer      |
      | large 8 at 0, small 2 at 5                | a small one  | 1     | the second one    |
      | large 8 at 0, small 2 at 5                | a large one  | 1     | the newcomer      |
      | large 8 at 0, small 2 at 0                | the first    | 1     | the newcomer      |

  # Such a body held the loop for 4.7 s, and 30 times its bytes.
  Scenario: A body in chunks of 2 bytes does not hold the loop
    Given a node beside an upstream, and its neighbour
    When 50000 chunks of 2 bytes of a body arrive at once
    Then others have a turn after every few chunks, and its bytes are held once
