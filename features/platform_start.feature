Feature: A node on the platform starts under load

  Scenario: Callers that connect while a node starts wait and are answered
    Given the sockets of a node that has not made its imports yet
    When a caller connects and sends a call before the node runs
    And the node starts while the store holds no configuration yet
    And the configuration and the endpoint's heartbeat come
    Then the call is answered by the endpoint

  Scenario: Callers are refused in time when no configuration comes
    Given the sockets of a node that has not made its imports yet
    When a caller connects and sends a call before the node runs
    And the node starts while the store holds no configuration yet
    Then the call is refused as not run

  Scenario: Settings that can't be read open no socket and end with a clear error
    Given settings files that are missing, malformed or without addresses
    When a node's process would open its sockets
    Then none is open and the check of the settings names the fault

  Scenario: A version that changes few routes reuses all others
    Given a configuration of 2000 routes
    When versions change, add, remove and restore routes
    Then each snapshot is the same as one decoded from nothing
    And only the routes that changed were built again

  Scenario: A planned stop during the start answers the callers that wait
    Given the settings of a node whose store can't be reached
    When its process is told to stop while it makes its imports and a caller waits
    Then the caller gets an answer that says the call has not run
    And the process ends with success
