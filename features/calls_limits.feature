Feature: The node beside an upstream holds its limits exactly

  @soak
  Scenario: Slots, shares, deadlines and fairness under random arrivals
    When calls of three customers arrive, end, expire and hang up at random
    Then slots, shares and the queue are never exceeded
    And waiting calls are admitted by share first and deadline second
    And a free slot is never kept from a call that may have it

  Scenario: A customer that floods a service leaves the others their part
    When one customer sends ten times as much as another
    Then the other customer loses no call

  Scenario: Retries are a share of calls and need proof or idempotence
    When attempts of every kind and outcome fail at random
    Then what may have run is tried again only if idempotent
    And retries stay within a tenth of the calls

  Scenario: All nodes together stay within one budget of retries
    Given nodes that share a budget by its ratio and its slack
    When every call fails, in a calm, a surge and a calm again
    Then no ten seconds hold more retries than the budget allows
    And single failures are retried at once
