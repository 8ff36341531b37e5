Feature: Overload: more calls than the slots can run

  Scenario: Most calls that run are in time, and urgent calls go first
    Given an upstream of 6 slots and two kinds of calls at 1.4 times its capacity
    When the overload lasts 20 s
    Then at least 90% of the urgent calls and of the others that ran were in time
    And the slots were busy at least 90% of the time
    And refused calls were told to retry within 1 s, spread over time

  Scenario: The backlog of a burst is gone within a second
    Given an upstream of 6 slots and two kinds of calls at half its capacity
    When three times as many calls arrive for 2 s
    Then from 1 s after the burst no call is refused and at most 2% are late

  Scenario: Another region is used only if the own region would answer late
    Given a slow local endpoint, a fast one nearby and one in another region
    When the load is low at first, then too high for the own region
    Then no call goes to the other region at first, and all go there later

  Scenario: The latency target of a retry counts from the first attempt
    Given a route with a latency target of 0.6 s and callers that wait 2.5 s
    When a caller retries with 2.1 s left
    Then its answer is due 0.4 s sooner
