Feature: A node on the platform

  Scenario: A node serves what the store holds, and says 503 while it knows nothing
    Given the platform's store, an endpoint and a node beside it
    When the node starts before there is a configuration
    Then it is not ready and refuses calls as not run
    When the operator writes a configuration and the endpoint says that it is ready
    Then it is ready and serves the route, and no other

  Scenario: A version is in force whole, in order and never an older one
    Given the platform's store, an endpoint and a node beside it
    When versions come in order, late, broken and again
    Then only higher and whole ones were put in force

  Scenario: The store's faults end and the node follows again
    Given the platform's store, an endpoint and a node beside it
    When the store is away, forgets its history, cuts watches and loses answers
    Then the node has the newest version each time and its own entry is true

  Scenario: A node that stops serves its instance as long as callers come
    Given the platform's store, an endpoint and a node beside it
    When the node is told to stop and calls come from here and from another node
    Then they are answered for as long as callers may come, and told to close
    And a call of another node that still runs is answered before the end

  Scenario: A node that is told to reload while it starts goes on starting
    When a node's process begins to load what it needs
    Then a signal to reload does not end it

  Scenario: A split keeps its weights in each short run
    Given a route split 90 to 10 and one split in three
    When 200 calls are dealt
    Then each part has its weight within one call

  Scenario: Settings that can't be used are refused by name
    Given the platform's settings file with one field broken at a time
    When a process starts with it
    Then the field is named and the exit code is that of usage
