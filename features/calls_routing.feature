Feature: Endpoints are picked by what the node itself measures

  Scenario: The nearest endpoints are picked first, and only listed ones
    When endpoints are picked from data centres in two regions
    Then they are in the own data centre, else the own region, else another region
    And no pick names an endpoint that is not listed

  Scenario: Slow, failing and cold endpoints, and false load reports
    When one endpoint of four is slow, failing, cold or claims to be idle or busy
    Then the bad one gets far fewer calls and a false report of load changes little
    When a bad one fails at once while the others are slow
    Then it does not attract the calls

  Scenario: An endpoint without measurements is tried
    When the first call to one of four near endpoints was slow and others follow
    Then each of the four gets a call within the next 20

  Scenario: Ejection is limited in share and time
    When endpoints fail call after call
    Then at most half of them are ejected, and all are used again later

  Scenario: Each hop adds a span to a call's trace without blocking the call
    Given nodes "a" and "b" that trace to a file
    When a call with a trace context passes both
    Then the spans form one chain and the upstream gets the last one
    And a full queue drops spans and counts them

  Scenario: Slow and failing endpoints get few calls although each node makes few
    Given 60 nodes that each send a call every 0.3 s to 40 endpoints
    When every fourth endpoint is three times slower and one of them fails its calls
    Then with the owners' measurements at most half as many calls go to these as without

  Scenario: What an owner told is forgotten in time and not told after few calls
    When an owner measures calls of two instances one after the other
    Then it tells nothing of an instance before its eighth call
    And a node forgets what it was told after 6 s

  Scenario: An endpoint that fails every call is avoided by what its owner told
    Given 2 endpoints of a service of which one fails every call
    When the owners tell a node that has called neither
    Then each of 50 picks is the endpoint that works

  Scenario: An instance that replaces one that failed is tried at once
    Given an endpoint that is ejected after its calls failed
    When its node names another instance
    Then the endpoint gets calls again, and the failures of the one before do not count

  Scenario: Calls for an instance that has ended move on without a new connection
    Given two nodes, one beside an instance that has ended
    When 30 calls enter at the node beside it within its time until the next try
    Then all are answered by the other instance
    And at most one connection is refused, and no endpoint is ejected
