Feature: A planned stop cuts off no call

  Scenario: A request that is already under way on an idle connection is answered
    Given an HTTP side with a connection that has had one answer
    When its next request arrives and the stop begins before it is read
    Then the request runs once and its whole answer arrives
    And the connection ends and a new caller is refused

  Scenario: A request whose body is still on its way is read and answered
    Given an HTTP side with a connection that has had one answer
    When the head of its next request arrives, the stop begins and the body follows
    Then the request runs once and its whole answer arrives
    And the connection ends and a new caller is refused

  Scenario: A call that runs when the stop begins gets its whole answer
    Given an HTTP side with a connection that has had one answer
    When the stop begins while a slow request runs
    Then the request runs once and its whole answer arrives
    And the connection ends and a new caller is refused
