Feature: Limits on requests, and bodies that are streamed to the upstream

  Scenario: The limits of a configuration are decoded
    When configurations with usual and odd limits are decoded
    Then a usual limit is taken, an odd one keeps its default and is logged

  Scenario: The limits in force bound heads, bodies and idle connections
    Given a node whose configuration has low limits
    When requests at and beyond each limit are made
    Then those at the limits are answered and the others are refused with 413, 431 and 408
    And an idle connection is closed, but not while an answer is pending on it
