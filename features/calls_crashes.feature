Feature: A request that crashes its instances is held back, and no other request is

  Scenario Outline: A request under which three instances ended is sent to no more of them
    Given four nodes on <interface>, beside instances that end under one request
    When it comes at one node after the other until three instances have ended
    And it comes 24 times more, from a second later on
    Then it reaches instances at most three times more
    And other requests are answered at each node

    Examples: Interfaces
      | interface           |
      | its own interface   |
      | the users' platform |

  Scenario: A node that starts anew is told what is held back
    Given four nodes on its own interface, beside instances that end under one request
    When it comes at one node after the other until three instances have ended
    And one node starts anew
    Then that node refuses the request within a second, and sends it to no instance

  Scenario: Nodes that all start anew find in the store what is held back
    Given four nodes that keep holds in one store, beside instances that end under one request
    When it comes at one node after the other until three instances have ended
    And the holds are stored and all nodes start anew
    Then it reaches no instance any more

  Scenario: An operator's word in the store lets a request go
    Given four nodes that keep holds in one store, beside instances that end under one request
    When it comes at one node after the other until three instances have ended
    And the holds are stored and an operator sets the record to released
    Then the request is free at each node, also after all start anew

  Scenario: What is held back is stored once the store is back
    Given four nodes that keep holds in one store, beside instances that end under one request
    When the store is away until three instances have ended
    Then the hold is stored after its return, in one record

  Scenario: Callers beside a deadly request are answered elsewhere
    Given four nodes on its own interface, beside instances that end under one request
    When 40 other requests are under way as an instance ends
    Then each of their callers is answered
    And no request but the deadly one is held back or waits

  Scenario: Callers of an instance that is merely killed are not refused
    Given four nodes on its own interface, beside instances that end under one request
    When the instances are killed one after the other while callers send the same request
    Then each call that did not run to its end is answered when it is sent again
    And no request is held back at any node

  Scenario: A deadly call from inside a request does not implicate the request that made it
    Given a service whose runs make a deadly call to another service of three instances
    When 12 different requests run there, one after the other
    Then the deadly call is held back after three ends
    And no request of the first service is suspected, and its instance lives

  Scenario: An instance that only loses connections implicates nobody
    Given a node beside an instance that resets the connection of each second request
    When 20 requests are sent
    Then no end of the instance is recorded

  Scenario: A deadly request that waits in isolation lets the next one through
    Given an owner at which one suspected request runs in isolation
    When another one waits and its caller hangs up, and a third one waits
    Then the third one runs once the first one is answered

  Scenario: The largest notices that are kept go in messages that a frame takes
    Given a sender of notices to three nodes, one of which can't be reached
    When as many ends and holds are known as are kept, of the largest size
    Then a node that starts anew is told all of it, in messages of at most 1 MB

  Scenario: Notices reach a node that could not be reached, and one that starts
    Given a sender of notices to three nodes, one of which can't be reached
    When two notices are published and that node can be reached after 60 s
    Then it gets both within 2 s, and the others got them once
    When a notice is published just as another one is on its way
    Then both arrive
    When a node starts anew
    Then it is told all that is known
    When a node can't be reached for longer than notices are kept
    Then none is kept for it any more
