Feature: Endpoints are picked by what the node itself sees

  Scenario: The nearest place first, and only endpoints that are listed
    When calls are picked with endpoints in every place
    Then they stay in the own data centre, then the own region, then go abroad
    And no pick names an endpoint that is not listed

  Scenario: A slow, a failing, a cold and a lying endpoint get less
    When one endpoint of four is slow, failing, cold or claims to be idle or busy
    Then the bad one gets far fewer calls and the liar no more than its share
    When a bad one answers at once while the others are busy
    Then it does not draw the calls to itself

  Scenario: An endpoint of which nothing is known is tried
    When the first call to one of four near endpoints was slow and others follow
    Then each of the four gets a call within the next 20

  Scenario: Ejection has a cap and an end
    When endpoints fail call after call
    Then at most half of them are out, and all serve again later

  Scenario: Spans follow a call over each hop and never hold it up
    Given nodes "a" and "b" that trace to a file
    When a call with a trace context goes over both
    Then the spans are one chain and the upstream gets the last of them
    And a full queue drops spans and counts them
