Feature: Node processes keep their promises under random faults

  Scenario Outline: A short soak test with a fixed seed
    When the soak test runs seed <seed> for 6 s with 4 nodes
    Then no promise was broken

    Examples: Fixed seeds
      | seed |
      | 1    |
      | 4    |
      | 7    |
      | 507  |
      | 3003 |
      | 8010 |

  # From seed 9000 on there are API keys: without this, a withdrawn key that a node still
  # accepts, or a key that reaches an upstream or a log, shows only in runs by hand.
  Scenario: A short soak test in which API keys are added and withdrawn
    When the soak test runs seed 9010 for 6 s with 4 nodes
    Then no promise was broken

  Scenario: A soak test with a fixed seed in which deadly requests come again
    When the soak test runs seed 3 for 15 s with 4 nodes
    Then no promise was broken

  # From seed 10000 on there is only planned work: without this, calls that a stopping
  # node loses show only on the users' bench.
  Scenario: A short soak test of planned work, two nodes stopping at once
    When the soak test runs seed 10028 for 6 s with 3 nodes
    Then no promise was broken

  # A node counted its grace period from the end of its start, not from the SIGTERM.
  Scenario: A node that is told to stop while it starts is gone within its grace period
    When the soak test runs seed 10025 for 4 s with 3 nodes that start 1.5 s later
    Then no promise was broken
    And no node was still there at the end of its grace period

  Scenario: A seed always gives the same fault schedule, and schedules hold every kind
    When the fault schedules of fifteen seeds are drawn twice
    Then both draws are equal and hold every kind of fault
    And no schedule holds a kind that applies only from a later seed on

  Scenario: A seed of planned work always gives the same schedule, of planned work only
    When the planned work of ten seeds is drawn twice
    Then both draws are equal and hold stops, reloads, departures and configurations

  Scenario Outline: The soak reports a call that planned work lost, and no other
    Given node 0 <told> at 0 s, and a limit of 4 s
    When a call sent to it whole at <sent> s works at node 1 <work> and ends at <ended> s, <ending>
    Then the soak says <verdict>

    Examples: Calls beside a SIGTERM
      | told        | sent | work              | ended | ending                   | verdict                                   |
      | got SIGTERM | -0.5 | from -0.4 to 2.0  | 1.0   | closed without an answer | LOST beside the stop of node 0            |
      | got SIGTERM | 0.5  | from 0.6 to 3.0   | 1.0   | cut in its answer        | LOST beside the stop of node 0            |
      | got SIGTERM | 0.5  | from 0.6 to 0.7   | 1.0   | cut in its answer        | LOST beside the stop of node 0            |
      | got SIGTERM | 0.5  | from 0.6 to 3.0   | 1.0   | answered by the node     | LOST beside the stop of node 0            |
      | got SIGTERM | 0.5  | from 0.6 to 0.9   | 1.0   | answered by the node     | nothing                                   |
      | got SIGTERM | 0.5  | never             | 0.8   | closed without an answer | LOST beside the stop of node 0            |
      | got SIGTERM | 0.5  | never             | 0.6   | closed without an answer | crossed the close of a kept connection    |
      | got SIGTERM | 2.9  | from 3.0 to 6.2   | 5.4   | closed without an answer | at work at the end of the grace period    |
      | got SIGTERM | 3.1  | from 3.2 to 6.4   | 5.4   | closed without an answer | LOST beside the stop of node 0            |
      | got SIGTERM | 2.9  | from 3.0 to 6.2   | 4.9   | closed without an answer | LOST beside the stop of node 0            |
      | got SIGTERM | 2.9  | from 3.0 to 4.9   | 5.4   | closed without an answer | LOST beside the stop of node 0            |
      | got SIGTERM | 1.5  | from 1.6 to 6.2   | 5.6   | closed without an answer | time limit reached                        |
      | got SIGTERM | 6.0  | from 6.1 to 8.0   | 6.9   | closed without an answer | LOST beside the stop of node 0            |
      | got SIGTERM | 6.0  | from 6.1 to 8.0   | 7.1   | closed without an answer | no planned work                           |

    Examples: Calls beside other planned work
      | told                | sent | work              | ended | ending                   | verdict                     |
      | got SIGHUP          | -0.5 | from -0.4 to 2.0  | 0.1   | closed without an answer | LOST beside a reload        |
      | got SIGHUP          | 2.4  | from 2.5 to 4.0   | 3.5   | closed without an answer | LOST beside a reload        |
      | got SIGHUP          | 2.6  | from 2.7 to 4.0   | 3.5   | closed without an answer | no planned work             |
      | got SIGHUP          | 0.5  | from 0.6 to 3.0   | 1.0   | answered by the node     | no planned work             |
      | got a configuration | 2.4  | from 2.5 to 4.0   | 3.4   | closed without an answer | LOST beside a configuration |
      | got a configuration | 2.4  | from 2.5 to 4.0   | 3.6   | closed without an answer | no planned work             |
      | got a configuration | 0.1  | from 0.2 to 4.0   | 3.0   | closed without an answer | most of its time used       |

    Examples: The instance's node stops
      | told            | sent | work             | ended | ending                   | verdict                                |
      | saw node 1 stop | 0.5  | from 0.6 to 3.0  | 1.0   | closed without an answer | no planned work                        |
      | saw node 1 stop | 0.5  | from 0.6 to 3.0  | 1.0   | answered by the node     | LOST beside the stop of node 1         |
      | saw node 1 stop | 2.2  | from 2.3 to 5.6  | 5.4   | answered by the node     | at work at the end of the grace period |
