Feature: More calls than the slots can run

  Scenario: What is run is in time, the more urgent first
    Given an upstream of 6 slots and two kinds of calls at 1.4 times its capacity
    When the overload lasts 20 s
    Then nine in ten of the urgent calls and of the others that ran were in time
    And the slots were busy nine tenths of the time
    And what was refused was told to come back soon and not all at once

  Scenario: A burst is worked off without making all late
    Given an upstream of 6 slots and two kinds of calls at half its capacity
    When three times as many come for 2 s
    Then a second after the burst nothing is refused or late

  Scenario: A far endpoint is used only where it earns more than its way costs
    Given a slow endpoint here, a quick one in the next place and one abroad
    When the load here is low, then beyond what the region can serve in time
    Then nothing goes abroad at first, and what would be late goes there later

  Scenario: Returning callers are known by the time that they have left
    Given a route with a target of 0.6 s and callers with 2.5 s
    When a caller comes back with 2.1 s left
    Then its answer is due 0.4 s sooner
