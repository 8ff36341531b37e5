Feature: A node on the platform

  Scenario: A node answers 503 until it has a configuration and then serves its routes
    Given the platform's store, an endpoint and a node beside it
    When the node starts before there is a configuration
    Then it is not ready and refuses calls as not run
    When the operator writes a configuration and the endpoint sends a heartbeat
    Then it is ready, serves the route and answers 404 for other paths

  Scenario: Only a valid configuration of a higher version replaces the one in force
    Given the platform's store, an endpoint and a node beside it
    When versions arrive in order, out of order, malformed and repeated
    Then only valid ones of a higher version were applied

  Scenario: A node catches up after each fault of the store
    Given the platform's store, an endpoint and a node beside it
    When the store refuses calls, drops its history, cuts watches and loses answers
    Then the node has the newest version each time and its stored record is current

  Scenario: A stopping node answers calls until callers have learnt that it stops
    Given the platform's store, an endpoint and a node beside it
    When the node is told to stop while callers and another node send calls
    Then the calls are answered and callers are told to close their connections
    And a call of another node that is in flight is answered before the node ends

  Scenario Outline: A stopping node takes a request only if its end is sure or early
    Given a planned stop that leaves 5.4 s
    When a request of <deadline> s is complete after <after> s
    Then the node <decision> it

    Examples:
      | after | deadline | decision |
      | 0.1   | 5.0      | takes    |
      | 2.6   | 5.0      | takes    |
      | 2.8   | 5.0      | refuses  |
      | 2.8   | 2.5      | takes    |
      | 5.0   | 0.3      | takes    |
      | 5.0   | 1.5      | refuses  |

  Scenario: A SIGHUP during start-up does not end a node's process
    When a node's process imports eventlet
    Then SIGHUP is ignored in the process

  Scenario: A traffic split keeps its weights over a short run of calls
    Given a route split 90 to 10 and one split into three equal parts
    When a service is picked for each of 200 calls
    Then each service has its share of the calls to within one call

  Scenario: Invalid settings are refused with the name of the field
    Given the platform's settings file with one field invalid at a time
    When each settings file is loaded
    Then the error names the field and has the exit code of a usage error
