Feature: How old a node's knowledge of the store may be

  # A claim without its age let followers serve an old version for 5 s (review/3).

  Scenario Outline: Followers learn a change in time, whatever their watchers' calls meet
    Given a group whose store <fault> one or both watchers, from any moment of a watch
    When the decisions of all its nodes are replayed with a bound of <bound> s
    Then no follower's knowledge is ever too old for the bound
    And without the fault the followers never ask the store

    Examples:
      | fault               | bound |
      | falls silent to     | 2.5   |
      | falls silent to     | 4.0   |
      | refuses             | 2.5   |
      | is slow to          | 2.5   |
      | is slow to          | 3.0   |

  Scenario: A node that reads for itself has caught up in time after a silence
    Given a store that loses all calls for 0.3 s, from any moment of a watch
    When a node that reads for itself follows the configuration
    Then it knows a change made after the silence in time

  Scenario: What a source confirms counts once its objects are held
    Given a feed that lacks what its source holds
    When the source confirms it and then sends it
    Then the feed is as fresh as its source, and was not before

  Scenario: An answer dates from its request, or from the end of its wait
    Given a subscription with a wait of 2 s
    When an answer has changes, is empty after the wait, or is empty before it
    Then what is known dates from the request, the end of the wait, or the request
