Feature: No part of a node goes round without waiting

  # A process that does not wait uses its machine's whole processor. Each scenario is one
  # way in which a wait returns at once, again and again.

  Scenario: An error that lasts on the socket for datagrams is read a few times a second
    Given a transport whose socket for datagrams fails at each read
    When 0.5 s pass
    Then it was read at most 10 times, and the transport still accepts streams

  Scenario: A wait for the rate of an instance that is too short for the clock
    Given a node whose next call may run after a time below the clock's resolution
    When it waits for that time for 0.2 s
    Then the time was looked at no more than once a millisecond

  Scenario: A signal that is fired before each wait lets others run
    Given a greenlet that fires a signal and waits for it 1000 times
    When another greenlet runs beside it
    Then that one had its turn before the first one ended

  Scenario: A step that asks for no pause, or for one that is no number, is paused
    Given steps that return 0, a negative pause and one that is no number
    When each is repeated for 0.1 s
    Then none was called more than 100 times

  Scenario: A store that answers each watch at once, though nothing has changed
    Given a subscription to a store that does not let watches wait
    When it is followed for 2 s
    Then it has made at most 25 calls

  Scenario Outline: The listener of <server> outlasts errors without going round
    Given <server> on a listener that runs out of descriptors, then loses a connection
    When a connection comes after these errors
    Then it is served, and the listener was asked less than ten times

    Examples:
      | server               |
      | the call streams     |
      | the replication      |
      | the control streams  |
      | the callers          |

  Scenario: A peer that closes each stream at once is not connected to again and again
    Given a peer that accepts streams and closes them at once
    When 1000 messages are sent to it within 1 s
    Then it was connected to at most 20 times

  Scenario: Connections that are queued are accepted in turns
    Given a listener with 300 queued connections
    When they are accepted beside another greenlet
    Then that one had a turn for each 8 of them

  Scenario: Requests that a caller has sent ahead are read in turns
    Given a node and a caller that sends 400 requests for no route in one write
    When they are answered beside another greenlet
    Then that one had a turn for each 8 of them

  Scenario: A review of all loops: each round waits or uses something up
    When the loops of all modules are read
    Then each path round a loop waits, or takes away from what it goes over
