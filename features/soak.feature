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

  Scenario: A soak test with a fixed seed in which deadly requests come again
    When the soak test runs seed 3 for 15 s with 4 nodes
    Then no promise was broken

  Scenario: A seed always gives the same fault schedule, and schedules hold every kind
    When the fault schedules of ten seeds are drawn twice
    Then both draws are equal and hold every kind of fault
