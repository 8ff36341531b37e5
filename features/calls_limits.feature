Feature: The node beside an upstream enforces its limits exactly

  @soak
  Scenario: Slots, shares, deadlines and fairness under random arrivals
    When calls of three customers arrive, end, expire and hang up at random
    Then slots, shares and the queue are never exceeded
    And waiting calls are admitted by share first and deadline second
    And no slot is free while a call that may have it waits

  Scenario: A customer that floods a service does not displace the others
    When one customer sends ten times as much as another
    Then the other customer loses no call

  Scenario: Retries are limited, and need idempotence or proof of not having run
    When attempts of every kind and outcome fail at random
    Then a call that may have run is retried only if it is idempotent
    And retries stay within a tenth of the calls

  Scenario: All nodes together stay within a shared retry budget
    Given nodes that share a retry budget made of a ratio and a slack
    When every call fails at a low rate, in a surge and at a low rate again
    Then no window of 10 s has more retries than the budget allows
    And each node may retry its first failure at once
