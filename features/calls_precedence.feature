Feature: Order of calls when an upstream has less room than is asked for

  Scenario: A call that the upstream makes while it runs another goes before fresh ones
    Given a node whose upstream makes a call while it runs the call p-1
    When calls with the ids p-1.c, p-2.c, p-1 and p-1c come without a key
    Then only p-1.c has the priority of nested calls, and only while p-1 runs

  Scenario: Without accounts and a reported pace no call counts as nested
    Given a node without accounts whose upstream makes a call while it runs the call p-1
    When calls with the ids p-1.c, p-2.c, p-1 and p-1c come without a key
    Then no call has the priority of nested calls

  Scenario: A call goes before fresh ones where the upstream reports its pace
    Given a node without accounts whose upstream makes a call while it runs the call p-1
    And the upstream reports the pace of its machine
    When calls with the ids p-1.c, p-2.c, p-1 and p-1c come without a key
    Then only p-1.c has the priority of nested calls, and only while p-1 runs

  Scenario: Nested calls are served while a service has half the room that it needs
    Given an upstream of 4 slots, nested calls for half of it and fresh ones for all of it
    When they arrive for 20 s
    Then at least 98% of the nested calls are served and the slots are busy

  Scenario: A full queue takes a nested call in place of a fresh one
    Given a full queue of one customer's fresh calls
    When a nested call and then a fresh call of that customer come
    Then the nested call waits in place of a fresh one, and the fresh call is refused

  Scenario: A customer with eight times its usual load leaves the others their part
    Given an upstream of 4 slots and 8 customers that need half of it together
    When one of them sends 8 times as much for 20 s
    Then each of the others has at least 95% of its calls served

  Scenario Outline: No customer starves behind another one's calls
    Given an upstream of 4 slots and the customers a and b
    When a sends <a> calls a second at <a ranks> and b sends 20 at <b ranks> for 20 s
    Then at least a quarter as many of b's calls as of a's are served

    Examples:
      | a   | a ranks              | b ranks              |
      | 160 | priority 0, route 0  | priority 0, route 1  |
      | 60  | priority 0, route 0  | priority 0, route 1  |
      | 160 | priority 0, route 0  | priority 1, route 0  |
      | 60  | priority 0, route 0  | priority 1, route 0  |

  Scenario: A caller without an account can't pass calls off as nested
    Given a node whose upstream runs the call p-1 of a caller without an account
    When calls with the ids p-1.c, p-2.c, p-1 and p-1c come without a key
    Then no call has the priority of nested calls

  Scenario: Calls that upstreams refuse at random are tried once more
    Given upstreams that refuse half of the calls without running them
    When 200 calls come, with and without a budget for refused calls
    Then at least 70% are served with it, and the budgets bound the retries of both
