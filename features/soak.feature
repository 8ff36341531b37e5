Feature: Promises through random faults on real processes

  Scenario Outline: A short run of a seed
    When the soak plays seed <seed> for 6 s with 4 nodes
    Then no promise was broken

    Examples: Fixed seeds
      | seed |
      | 1    |
      | 4    |
      | 7    |

  Scenario: A schedule is the same for a seed and holds each kind
    When schedules of ten seeds are drawn twice
    Then they are the same and hold every kind of fault
