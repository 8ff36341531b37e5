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
