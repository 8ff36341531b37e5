Feature: What requests that were sent ahead may take of a node

  # 200 callers that sent ahead and read nothing took 280 MB, and the node went on
  # answering what they had sent for half a minute after they had left.
  Scenario: Callers that send ahead and read nothing
    Given a node that takes few bytes for a caller that does not read
    When 12 callers send 1000 requests each to a path of no route and read nothing
    Then few requests of each caller are pending
    And answers that wait keep no head of their request
    And an ordinary call is answered
    When the 12 callers hang up
    Then no request that they had sent ahead is begun any more
    And an ordinary call is answered

  Scenario: No request is begun behind an answer that its caller does not take
    Given a pipeline whose caller takes nothing, with an answer and 3 requests behind it
    When another request of it may run
    Then it waits until the caller takes the answer

  Scenario: A request that waits for its turn does not outlast its connection
    Given a pipeline whose caller takes nothing, with an answer and 3 requests behind it
    When another request of it may run and the connection closes
    Then the greenlet that reads the connection ends

  Scenario: The turns of a round of the loop are shared between connections
    When 100 connections wait for the turn of a request that was sent ahead
    Then at most 8 of them get it in one round, in the order in which they came

  Scenario: A greenlet that is killed while it waits for its turn takes none
    When 20 connections wait for a turn and those of the second 4 are killed
    Then the other 16 get their turns

  Scenario: A connection has one request pending while the share is used up
    When 3 connections send 10 requests each to a process that holds 4 sent ahead
    Then 7 requests are pending, and more only once an answer was written
    And nothing is pending once the connections are closed

  Scenario Outline: How many requests sent ahead a process holds
    When a process has <memory> MB
    Then it holds <requests> requests that were sent ahead

    Examples:
      | memory    | requests |
      | 16        | 256      |
      | 128       | 488      |
      | 300       | 1144     |
      | 552       | 2105     |
      | unlimited | 4096     |

  # A turn that was given as the wait for it ended was lost, and with it the connection.
  Scenario: No connection loses its turn when rounds take as long as its wait
    Given a share of turns whose waits end after 1 ms
    When 100 connections take 20 turns each in rounds of about 1 ms
    Then all turns are taken
