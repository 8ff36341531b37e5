Feature: A stopping node takes the calls that end before it does

  Scenario: A call that takes longer than a stop leaves isn't taken early and then cut off
    Given a node that enters calls for two instances, with a kind of 0.8 s and a short one
    When calls of both kinds arrive 0.3 s after a stop of the entering node began that leaves 1 s
    Then the long call is refused as not run and ran nowhere
    And the short call, whose caller would wait for longer, gets its answer

  Scenario: A call for a stopping node that would be cut there runs at another one
    Given a node that enters calls for two instances, with a kind of 0.8 s and a short one
    When 4 long calls arrive 0.3 s after a stop of one instance's node began that leaves 1 s
    Then each of them gets its answer from the other instance
    And no retry was spent on them

  Scenario Outline: A stopping node judges a request by what its kind takes
    Given a planned stop that leaves 5.4 s
    When a request of <deadline> s is complete after <after> s, of a kind that takes <takes> s
    Then the node <decision> it

    Examples:
      | after | deadline | takes | decision |
      | 0.5   | 5.0      | 3.3   | takes    |
      | 2.2   | 4.0      | 3.3   | refuses  |
      | 2.2   | 3.0      | 3.3   | takes    |
      | 2.4   | 5.0      | 0.4   | takes    |
      | 2.8   | 5.0      | 0.4   | refuses  |
      | 4.5   | 0.8      | 0.4   | takes    |

  # Only the first safe call got its 504, and answers that waited behind it were dropped.
  Scenario: All callers that still wait are told, and answers behind a cut call are sent
    Given a node that enters calls of 20 s and short ones
    When five callers, and one that sends two short calls behind, outlast its stop
    Then each of the five gets a 504
    And the one that sent ahead gets a 504 and the two answers of the upstream
