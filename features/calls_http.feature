Feature: Calls over HTTP: complete answers, no duplicate runs, enforced limits

  Scenario: Ambiguous, oversized and malformed requests are refused
    Given nodes "a" and "b" of one service
    When ambiguous, oversized, slow and malformed requests are sent
    Then each is refused with the expected kind and none of them ran
    And the next call is answered

  Scenario: Hop-by-hop headers and forged node headers are not forwarded
    Given nodes "a" and "b" of one service
    When a call carries hop-by-hop headers and forged node headers
    Then the upstream gets only the caller's end-to-end headers and those of the node

  Scenario: An upstream that closes the connection after each byte of its answer
    Given an upstream that closes the connection after a given number of answer bytes
    When a booking is made for each possible number of bytes
    Then no truncated answer is forwarded as complete and each booking ran once

  Scenario: A stream between nodes that is closed after each byte
    Given a relay between two nodes that closes connections after a given number of bytes
    When a booking is made through the relay for each number of bytes in each direction
    Then no booking that is reported as not run has run, and none ran twice

  Scenario: An unresponsive owner is detected before the deadlines of its calls
    Given a relay between two nodes that can stop forwarding bytes
    When the relay stops forwarding while calls to the owner are in flight
    Then the idempotent call is answered by another owner and the booking ends as unknown

  Scenario: A caller that can't detect truncation gets only complete answers
    Given an upstream whose answers have no Content-Length
    When an HTTP/1.0 caller requests a complete and a truncated answer
    Then it gets the first with a Content-Length and an error for the second
    And a body that exceeds the memory limit for bodies is refused as not run

  Scenario: The slot of a caller that hangs up is released
    Given nodes "a" and "b" of one service whose upstreams hang
    When callers of the owner and of the other node hang up
    Then the connections to the upstream are closed and all slots are free

  Scenario: Deadlines are enforced
    Given nodes "a" and "b" of one service whose upstreams hang
    When calls with short deadlines are made through the owner and the other node
    Then they are reported as unknown at their deadline and all slots are free
    And a call with no time left is refused as not run

  Scenario: The slot limit holds for calls through all nodes
    Given two nodes that share one slow upstream with 3 slots
    When 40 calls are made through both nodes at once
    Then the upstream never ran more than 3 calls at once and no refused call ran

  Scenario: Large answers are streamed with bounded buffers
    Given an upstream with an answer of 24 MB
    When a slow caller reads it through another node
    Then no more than the flow-control window is buffered and the answer is complete

  Scenario: A node drains under load without failing a call
    Given nodes "a", "b" and "c" of one service under load
    When "a" drains
    Then no call failed and the upstream of "a" got no call after the drain began

  Scenario: Calls that were routed by a stale member list run at another upstream
    Given a node whose member list names a drained upstream and a stopped node
    When bookings are made through the node with the stale list
    Then each booking ran once, at another upstream

  Scenario: A chain of calls is refused beyond the maximum depth
    Given nodes "a" and "b" of one service
    When a call arrives with a depth of 33
    Then it is refused as too deep and does not run

  Scenario: A refused retry does not report the first attempt as not run
    Given an upstream that drops connections after calls ran, and one that sheds load
    When idempotent calls that may reach either are made
    Then no call that reached the first upstream is reported as not run

  Scenario: Few calls are lost to an upstream that drops idle connections
    Given an upstream that resets requests on connections idle for over 0.1 s
    When 20 bookings are made with pauses of 0.05 to 0.3 s between them
    Then at most 2 of the 20 fail and none ran twice

  Scenario: An idempotent call that fails at one upstream is retried at another
    Given an upstream that answers with status 500 and one that works
    When idempotent calls and bookings are made
    Then the idempotent calls are answered by the working upstream and no booking ran twice
    And with both failing, an idempotent call gets the unchanged 500 answer after two runs

  Scenario: A call with an idempotency key runs once, even if its keeper is lost
    Given nodes "a", "b" and "c" with one store
    When a booking is repeated with its idempotency key at each node
    Then it ran once and every repeat got the same answer
    And a booking whose caller hangs up still completes and its answer is stored
    And a booking whose keeper is lost while it runs is never run again
    And with the store down, bookings with a key are refused and others are served
