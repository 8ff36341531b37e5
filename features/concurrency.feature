Feature: The limit on concurrent calls follows what an upstream handles well

  Scenario Outline: An upstream that gains from every slot keeps its slots
    Given an upstream whose <property>
    When calls at <load> times its capacity are replayed, with and without the limit
    Then its work in time is at least 0.95 of that with fixed slots
    And it has all its slots for 0.8 of the time and never less than 3

    Examples:
      | property                                       | load |
      | calls are all of its own                       | 0.5  |
      | calls are all of its own                       | 1.1  |
      | pace is 70                                     | 1.5  |
      | pace is 160 and jumps to 400 for 600 ms        | 0.7  |
      | pace jumps by 2.5 for 600 ms                   | 1.0  |
      | calls wait for a service that is slow at times | 1.0  |

  Scenario: An upstream that slows down from half of its slots gets two calls at once
    Given an upstream whose throughput falls from the third call on
    When calls at 0.9 times its capacity are replayed, with and without the limit
    Then its work in time is at least 1.15 of that with fixed slots
    And it has all its slots for at most 0.25 of the time

  Scenario: A slot that adds only latency is left unused for part of the time
    Given an upstream whose fourth call adds no throughput
    When calls at 1.3 times its capacity are replayed, with and without the limit
    Then its work in time is at least 0.95 of that with fixed slots
    And it has all its slots for at most 0.7 of the time

  Scenario: The limit follows an upstream whose behaviour changes
    Given an upstream whose calls are all of its own
    When its throughput falls from the third call on, and a minute later no longer does
    Then its work in time while it falls is at least 1.05 of that with fixed slots
    And all its slots are in use again half a minute after that

  Scenario: Without a pace nothing is limited
    Given an upstream whose throughput falls from the third call on
    When calls are replayed and the upstream reports no pace
    Then it has all its slots all the time

  Scenario: A new instance, new slots, a cold start and a missing pace
    Given an upstream that was found to handle two calls
    Then another instance starts with all its slots
    And changed slots are all used
    And the times of a cold instance are not used
    And an answer without a pace ends the limit half a second after the last one

  Scenario: Whatever an upstream reports of its load is read or ignored
    When reports of any text are read
    Then each gives numbers in range or nothing
    And "3,0,4,160" has the pace 160 and "3,0,4" has none

  Scenario: Slots that shrink while calls run and wait are not exceeded
    Given an upstream of 4 slots with 4 calls that run and 3 that wait
    When its heartbeat announces 2 slots and 2 calls end
    Then no call that waits was sent
    When the other calls end
    Then no more than 2 of the others ran at once, and all are answered

  Scenario: Calls that a restarted node has not sent itself take slots
    Given an instance that still works on 3 calls of the node's earlier process
    When it has answered one more call
    Then the node uses 1 slot
    When the earlier calls have ended and it has answered one more call
    Then the node uses 4 slots

  Scenario: Calls that were given up take slots while the upstream works on them
    Given an instance that works on 2 calls which the node gave up at their deadline
    When it has answered one more call
    Then the node uses 2 slots

  Scenario: Another node learns an endpoint's pace with each answer
    Given two nodes of an upstream that reports a pace of 160
    When one calls the upstream through the other
    Then it knows the pace and the slots in use
    And an owner refuses a peer of the protocol version before

  Scenario: Calls avoid an endpoint while its pace is high, and old paces mean little
    Given 20 nodes that know 6 endpoints of the same speed
    When one endpoint tells a pace of 2.5 times its mean
    Then fewer than half as many calls as before go to it, and as many 2 s later
    When one endpoint tells a pace of half its mean
    Then no more than half of the calls go to it, and as many as before 1 s later
    And a constant pace changes no expected time
