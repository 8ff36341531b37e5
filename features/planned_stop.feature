Feature: A planned stop cuts off no call

  Scenario: A request that was sent on an idle connection before the stop is answered
    Given an HTTP server with an open connection that has had one answer
    When its next request arrives and the stop begins before it is read
    Then the request runs once and its whole answer arrives
    And the connection is closed and a new connection is refused

  Scenario: A request whose body arrives after the stop began is read and answered
    Given an HTTP server with an open connection that has had one answer
    When the head of its next request arrives, the stop begins and the body follows
    Then the request runs once and its whole answer arrives
    And the connection is closed and a new connection is refused

  Scenario: A request whose head is being read when the answer before it ends is answered
    Given an HTTP server with an open connection that has had one answer
    When half of a head arrives behind a slow request, that one ends and the stop begins
    Then the slow request's answer is whole
    And the request runs once and its whole answer arrives
    And the connection is closed and a new connection is refused

  Scenario: A call in flight when the stop begins gets its whole answer
    Given an HTTP server with an open connection that has had one answer
    When the stop begins while a slow request runs
    Then the request runs once and its whole answer arrives
    And the connection is closed and a new connection is refused

  Scenario: A request that arrives as its idle connection is shut is answered
    Given a node whose caller has an idle connection and whose upstream takes 0.3 s
    When the stop begins and a request arrives before the end of input is noticed
    Then the request runs once and is answered by the upstream

  Scenario: The first request on a connection that was opened as the stop began is answered
    Given an HTTP server with an open connection that has had one answer
    When another connection is opened, the stop begins and 0.1 s later it sends a request
    Then the request runs once and its whole answer arrives
    And the connection is closed and a new connection is refused

  Scenario: Requests on connections that wait to be accepted as the stop begins are answered
    Given an HTTP server with an open connection that has had one answer
    When 40 callers connect and send a request, and the stop begins before any is accepted
    Then each of their requests runs once and its whole answer arrives
    And the connections are closed and a new connection is refused

  Scenario: A request that is complete late in a stop isn't passed on and then cut off
    Given a node that enters calls for an instance beside another node
    When calls of 3 s are complete 0.1, 0.7 and 0.9 s after a stop began that leaves 1 s
    Then those that could not end in time are refused as not run and ran nowhere
    And a call whose caller waits for less than what is left gets its answer

  # The first answer closed the connection, with a request behind it at its upstream.
  Scenario: Requests sent ahead that were passed on before a stop are all answered
    Given a node that enters calls for an instance beside another node
    When three lookups sent ahead are at their upstream and a stop begins
    And the caller sends a fourth before the first is answered
    Then each request that ran is answered by its upstream, and only the last answer closes the connection
