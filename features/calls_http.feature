Feature: Calls over HTTP stay whole, single and within their limits

  Scenario: Heads that two readers could take in two ways are refused
    Given nodes "a" and "b" of one service
    When ambiguous, oversized, slow and hostile requests are sent
    Then each is refused with its kind and none of them ran
    And the next call is answered

  Scenario: Headers of one connection and of the nodes are not passed on
    Given nodes "a" and "b" of one service
    When a call carries hop-by-hop and made-up node headers
    Then the upstream sees the caller's own headers, depth and time left only

  Scenario: An upstream cut after each byte of its answer
    Given an upstream that cuts its answer after a number of bytes
    When a booking is made for each number of bytes
    Then no cut answer is taken for whole and each booking ran once

  Scenario: A stream between nodes cut after each byte
    Given a relay between two nodes that cuts after a number of bytes
    When a booking is made through it for each number of bytes and direction
    Then "did not run" is true and no booking ran twice

  Scenario: An owner that falls silent is noticed before the calls' deadlines
    Given a relay between two nodes that takes bytes and passes none
    When calls are under way to the silent owner
    Then an idempotent call is answered elsewhere and a booking ends as unknown

  Scenario: A caller that can't see a cut gets only whole answers
    Given an upstream whose answers have no length
    When a caller of HTTP/1.0 asks for a whole one and for one that is cut
    Then it gets the first with its length and a failure for the second
    And a body beyond what the node may hold is refused as not run

  Scenario: A caller that hangs up frees the slot
    Given nodes "a" and "b" of one service whose upstreams hang
    When callers beside and away from the upstream hang up
    Then the upstream's connections are closed and the slots are free

  Scenario: Time left is enforced and passed on
    Given nodes "a" and "b" of one service whose upstreams hang
    When calls with little time are made beside and away from the upstream
    Then they end as unknown and the slots are free
    And a call without time left is refused as not run

  Scenario: Slots are held exactly from all sides
    Given two nodes that share one slow upstream of 3 slots
    When 40 calls come through both at once
    Then the upstream never ran more than 3 and refused calls did not run

  Scenario: Large answers are streamed within bounds
    Given an upstream with an answer of 24 MB
    When it is read slowly through another node
    Then the owner reads no further ahead than the windows and the answer is whole

  Scenario: A node leaves under load without cutting or losing a call
    Given nodes "a", "b" and "c" of one service under load
    When "a" drains
    Then no call failed and the upstream of "a" got nothing after it

  Scenario: Stale lists are caught at the owner
    Given a node whose list names an upstream that left and a node that is gone
    When bookings are made with the stale list
    Then each booking ran once, elsewhere

  Scenario: A chain of calls ends at its depth
    Given nodes "a" and "b" of one service
    When a call says that it is 33 deep
    Then it is refused as too deep and did not run

  Scenario: A second attempt that did not run says nothing of the first
    Given an upstream that loses calls after they ran and one that sheds
    When idempotent calls are made
    Then no call that reached the first is said not to have run

  Scenario: An upstream that forgets idle connections loses few calls
    Given an upstream that resets what comes on a connection idle for 0.1 s
    When bookings are made with pauses of 0.05 to 0.3 s between them
    Then at most 2 of 20 are lost and none ran twice

  Scenario: An upstream's own failure is tried elsewhere if the call may run twice
    Given an upstream that answers with a failure beside one that serves
    When calls that may run twice and bookings are made
    Then the first are answered by the other upstream and no booking ran twice
    And with both failing a call gets the failure as its upstream gave it, after two runs

  Scenario: A key is honoured at every node and through the loss of its keeper
    Given nodes "a", "b" and "c" with one store
    When a booking is repeated with its key at each node
    Then it ran once and each got the same answer
    And a booking whose caller hangs up runs on and its answer is kept
    And a booking whose keeper dies while it runs is never run again
    And with the store down keyed bookings are refused and others go on
