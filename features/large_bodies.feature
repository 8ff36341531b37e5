Feature: Limits on requests, and bodies that are streamed to the upstream

  Scenario: The limits of a configuration are decoded
    When configurations with usual and odd limits are decoded
    Then a usual limit is taken, an odd one keeps its default and is logged

  Scenario: The limits in force bound heads, bodies and idle connections
    Given a node whose configuration has low limits
    When requests at and beyond each limit are made
    Then those at the limits are answered and the others are refused with 413, 431 and 408
    And an idle connection is closed, but not while an answer is pending on it

  Scenario Outline: Bodies are streamed whole, and small ones are sent as before
    Given nodes "a" and "b" with the <dialect> dialect, and an upstream beside "b"
    When bodies of several sizes are sent to <entry>, with a length and in chunks
    Then the upstream has received each body once and whole
    And connections of callers are kept, and all memory and slots are free

    Examples:
      | dialect    | entry |
      | native     | "b"   |
      | native     | "a"   |
      | platform's | "b"   |
      | platform's | "a"   |

  Scenario: Memory is bounded while many large bodies pass
    Given nodes "a" and "b" with the native dialect, and an upstream beside "b"
    When 8 bodies of 16 MiB are sent to "a" and "b" at once to a slow upstream
    Then no node held more bytes than it had reserved, nor more than its limit
    And the upstream has received each body once and whole

  Scenario Outline: The largest body passes a node of the least memory (<entry>)
    Given nodes "a" and "b" with the native dialect, and an upstream beside "b"
    When a body of 64 MiB is sent to <entry>, whole and in chunks, with the smallest pool
    Then the upstream has received each body once and whole
    And connections of callers are kept, and all memory and slots are free

    Examples:
      | entry |
      | "b"   |
      | "a"   |

  Scenario: The pool for bodies follows the memory of the process
    Then processes of some sizes have pools of a sixteenth, from 4 MiB to 12 MiB

  Scenario: A body that finds no memory is refused before any of it is read
    Given nodes "a" and "b" with the native dialect, and an upstream beside "b"
    When bodies are sent to "a" and "b" while memory for one is left at each
    Then one body passes and the others are refused as not run

  Scenario: A body that the configuration does not allow is refused
    Given nodes "a" and "b" with the native dialect, and an upstream beside "b"
    When bodies beyond the limit are sent, and a large one with an idempotency key
    Then each is refused with 413, and none passes whole

  Scenario Outline: A body that breaks off ends its call
    Given nodes "a" and "b" with the <dialect> dialect, and an upstream beside "b"
    When callers of <entry> send less than declared, stall, leave, and break a chunk
    Then the upstream sees each body cut, and each connection to it is closed
    And no outcome claims that the call did not run
    And connections of callers are kept, and all memory and slots are free

    Examples:
      | dialect    | entry |
      | native     | "b"   |
      | native     | "a"   |
      | platform's | "a"   |

  Scenario Outline: A body whose first bytes never come does not reach the upstream
    Given nodes "a" and "b" with the native dialect, and an upstream beside "b"
    When callers of <entry> send no byte of their bodies
    Then they are refused as not run and the upstream got no request

    Examples:
      | entry |
      | "b"   |
      | "a"   |

  Scenario: A call refused before its body was read goes to another endpoint
    Given nodes "a" and "b" with the native dialect, and an upstream beside "b"
    And nodes beside upstreams that are down
    When large bodies are sent to each node
    Then the upstream has received each body once and whole

  Scenario Outline: Nothing that may have run is repeated
    Given nodes "a" and "b" with the native dialect, and an upstream beside "b"
    And a node "c" beside another upstream
    When <fault> halfway through an idempotent call to "a"
    Then the call ends as unknown, and no other upstream got it

    Examples:
      | fault                         |
      | the upstream resets           |
      | the link between nodes is cut |
      | the deadline passes           |

  Scenario Outline: An early answer ends the sending
    Given nodes "a" and "b" with the <dialect> dialect, and an upstream beside "b"
    When the upstream answers early to a body with a request in it, sent to <entry>
    Then the caller gets the answer and its connection closes
    And the request within the body never ran
    And connections of callers are kept, and all memory and slots are free

    Examples:
      | dialect    | entry |
      | native     | "b"   |
      | native     | "a"   |
      | platform's | "a"   |

  Scenario: A caller that only sends does not wait for long after an early answer
    Given nodes "a" and "b" with the native dialect, and an upstream beside "b"
    When the upstream answers early to callers whose bodies wait for it
    Then the sending of each ends within 5 s

  Scenario: A node of an earlier version gets no body in parts
    Given nodes "a" and "b" with the native dialect, and an upstream beside "b"
    When "b" does not know bodies in parts and one is sent to "a"
    Then it is refused as not run, and other calls on the connection go on
