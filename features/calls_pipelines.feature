Feature: Requests that follow each other on one connection

  Scenario: Requests sent ahead run side by side and are answered in order
    Given an upstream that answers the later requests first
    When a caller sends three lookups ahead on one connection
    Then all three ran at one time and the answers come in order

  Scenario: Nothing is answered behind an answer that closes the connection
    Given an upstream that answers the later requests first
    When a caller sends lookups behind one that closes the connection
    Then it gets the answers up to that one and then the end

  Scenario: A caller that hangs up takes all its requests with it
    Given an upstream that hangs
    When a caller sends three lookups ahead and hangs up
    Then none of them holds a slot

  Scenario: A booking waits its turn between lookups
    Given an upstream that answers the later requests first
    When a caller sends a lookup, a booking with a body and a lookup ahead
    Then the three answers come in order and each ran once
