Feature: How many connections a port takes, and which end for others

  Scenario Outline: Connections that a port takes
    When a process has <memory> MB and <descriptors> descriptors
    Then it takes <callers> callers, <nodes> nodes, <followers> followers and <checks> checks

    Examples:
      | memory    | descriptors | callers | nodes | followers | checks |
      | 64        | 300         | 35      | 20    | 10        | 4      |
      | 128       | 4100        | 732     | 488   | 390       | 64     |
      | 300       | 4100        | 1365    | 780   | 390       | 64     |
      | 552       | 8192        | 2000    | 1024  | 512       | 64     |
      | unlimited | unlimited   | 2000    | 1024  | 512       | 64     |

  Scenario: The ports leave a quarter of the descriptors for endpoints and the store
    When processes have any number of descriptors from 400 on
    Then a quarter of those that are not reserved is left

  Scenario Outline: The connection that ends for a newcomer
    When connections are <connections>
    Then the one that ends is <ends>

    Examples:
      | connections                                      | ends     |
      | silent 5 s, silent 9 s, unread 7 s               | second   |
      | silent 5 s, served 60 s, at work                 | first    |
      | served 60 s, at work, unread 1 s                 | third    |
      | silent 60 s, unknown 1 s, unknown 2 s            | third    |
      | served 60 s, at work                             | none     |
      | silent 1 s, busy 60 s, busy 70 s                 | first    |
      | served 60 s, busy 60 s, busy 70 s                | third    |
      | served and unread 30 s, silent 20 s              | first    |

  # 64 connections that said nothing kept the platform's checks out for good.
  Scenario: Silent connections do not keep out the check of readiness
    Given an interface that takes 8 connections
    When 20 connections to it say nothing
    Then a request to it is answered
    And at most 9 connections are open, and those that ended were counted
    When the silent ones hang up
    Then no connection is open

  Scenario: Connections that send ahead do not keep out the check of readiness
    Given an interface that takes 8 connections
    When 20 connections to it send 500 requests each
    Then a request to it is answered

  # They were read and answered without a turn until the kernel took no more.
  Scenario: Connections that send ahead let others run between their requests
    Given an interface that takes 8 connections
    When 6 connections to it send 500 requests each at once
    Then at most 8 sent ahead are answered in one round of the loop
    And a request to it is answered

  Scenario: A body that is too long to discard closes its connection
    Given an interface that takes 8 connections
    When a request with a body of 1000000 bytes is sent to it
    Then its answer closes the connection

  Scenario: The newcomer ends where the node owes something to all others
    Given a listener that takes 2 connections of which both are served
    When a third one connects
    Then only the third one ends

  # 60 such connections held 188 MB: what is not a whole frame yet is kept.
  Scenario Outline: A peer that has not said who it is can't have bytes kept: <server>
    Given the server of <server>
    When a peer sends it 100000 bytes of a frame that does not end
    Then the connection ends

    Examples:
      | server           |
      | the call streams |
      | the replication  |

  Scenario: A node that says nothing is disconnected
    Given the server of the call streams, which waits 0.1 s for a hello
    When a peer connects and says nothing
    Then the connection ends
