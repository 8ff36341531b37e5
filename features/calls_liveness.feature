Feature: A connection between nodes is lost only if the other node is

  Scenario: An owner that takes a large body over a thin link keeps its connection
    Given a connection on which 4 MB wait for a link of 5 Mbit/s
    When the owner answers only what has arrived
    Then the connection is never closed

  Scenario: An owner whose link others fill keeps its connection for 5 s
    Given a connection on which 200 KB were sent and none is waiting
    When the answer to the ping comes 4.5 s after it
    Then the connection is never closed

  Scenario: An answer to another call does not show that a body has arrived
    Given a connection on which 200 KB were sent and none is waiting
    When the owner answers a small call and then nothing for 4.5 s
    Then the connection is never closed

  Scenario Outline: A connection to an owner that takes nothing more is closed
    Given a connection on which <sent> were sent and none is waiting
    When nothing comes from the owner any more
    Then the connection is closed after <at> s

    Examples:
      | sent   | at  |
      | 1 KB   | 3.0 |
      | 200 KB | 6.0 |

  Scenario: A call that is cut short by its deadline costs no other call
    Given a connection on which a body waits behind an owner that reads nothing
    When a second call with a short deadline ends before it is sent
    Then the first call is still open

  Scenario: A call whose caller leaves before it was sent never reaches the owner
    Given calls that wait behind a body that is being written
    When the callers of some of them leave and the rest is written
    Then the owner gets the others, in order, and none of those
