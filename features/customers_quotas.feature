Feature: Quotas of customers over all nodes together

  60 simulated nodes exchange messages that take 30 to 60 ms each way. A customer's
  calls may exceed rate x 5 s + burst by a tenth and 20 calls, in any 5 s.

  Scenario Outline: A sudden surge at all nodes never exceeds the bound
    Given 60 nodes and customers with quotas of 362, 60 and 6 calls a second
    When all send <before> of their quotas for 10 s, then <surge> times that for 10 s
    And all send 0.625 of their quotas for 15 s
    Then no customer ran more calls in any 5 s than the bound allows
    And the 10 s of the surge had at least 0.75 of the calls that two windows allow
    And none was refused in the last 10 s
    And each refusal named a time to come back

    Examples:
      | before | surge |
      | 0.625  | 5     |
      | 0.625  | 8     |
      | 0.95   | 5     |

  Scenario Outline: A customer within its quota is not refused, wherever its calls enter
    Given 60 nodes and a customer with a quota of <rate> calls a second
    When the nodes have run for 5 s without calls
    And the customer sends <part> of its quota for 30 s <entry>
    Then no call of it was refused
    And no message was longer than 400 bytes

    Examples:
      | rate | part  | entry                          |
      | 362  | 0.625 | at random to all nodes         |
      | 362  | 1.0   | evenly to all nodes            |
      | 362  | 1.0   | evenly to a few nodes          |
      | 362  | 1.0   | evenly to places that move     |
      | 60   | 1.0   | evenly to all nodes            |
      | 60   | 1.0   | evenly to places that move     |
      | 6    | 0.625 | at random to all nodes         |
      | 6    | 1.0   | evenly to all nodes            |
      | 6    | 1.0   | evenly to a few nodes          |
      | 6    | 1.0   | evenly to places that move     |

  Scenario: A surge of one customer costs the others nothing
    Given 60 nodes and customers with quotas of 362, 60 and 6 calls a second
    When the nodes have run for 5 s without calls
    And only the first of them surges for 10 s
    Then the other two were not refused

  Scenario Outline: The bound holds in each failure, also in the middle of a surge
    Given 60 nodes and customers with quotas of 362, 60 and 6 calls a second
    When a surge is under way and <failure>
    Then no customer ran more calls in any 5 s than the bound allows
    And each customer's calls run at no less than 0.7 of its rate in the last 10 s

    Examples:
      | failure                                         |
      | the coordinator dies                            |
      | the coordinator is paused for 4 s               |
      | a third of the nodes is paused for 3 s          |
      | a third of the nodes is cut off for 8 s         |
      | the network falls into six parts for 8 s        |
      | no node reaches another for 8 s                 |
      | all nodes restart                               |
      | a third of the nodes restarts                   |
      | a tenth of the messages is lost or arrives twice |

  Scenario Outline: The bound holds where the surge meets nodes that are already apart
    Given 60 nodes and customers with quotas of 362, 60 and 6 calls a second
    When <failure> and a surge follows
    Then no customer ran more calls in any 5 s than the bound allows

    Examples:
      | failure                                         |
      | a third of the nodes is cut off for 8 s         |
      | the network falls into six parts for 8 s        |
      | no node reaches another for 8 s                 |

  # The next coordinator granted a quota again that a surge had just used up (review/9).
  Scenario Outline: A quota that a surge from rest has used up is not granted again
    Given fleets of <nodes> nodes at rest and a quota of <rate> calls a second
    When a surge of <surge> times the quota enters at <entry>, and after <after> s <failure>
    Then the customer ran no more calls in any 5 s than the bound allows

    Examples:
      | nodes | rate | surge | entry                  | after | failure                            |
      | 6     | 10   | 10    | all nodes              | 1.5   | the coordinator is killed          |
      | 6     | 10   | 10    | the coordinator's node | 1.5   | the coordinator is killed          |
      | 6     | 10   | 10    | one other node         | 1     | the coordinator is killed          |
      | 6     | 10   | 10    | all nodes              | 3     | the coordinator is killed          |
      | 6     | 10   | 10    | one other node         | 1     | the coordinator ends for good      |
      | 6     | 10   | 10    | all nodes              | 1.5   | the coordinator is paused for 2 s  |
      | 6     | 10   | 10    | the coordinator's node | 1.5   | the coordinator is paused for 2 s  |
      | 6     | 10   | 10    | one other node         | 1     | the coordinator is paused for 2 s  |
      | 6     | 10   | 10    | all nodes              | 4.9   | the coordinator is paused for 2 s  |
      | 6     | 10   | 10    | all nodes              | 1.5   | two coordinators end after another |
      | 6     | 10   | 10    | one other node         | 1     | two coordinators end after another |
      | 6     | 10   | 10    | all nodes              | 2     | all nodes are killed               |
      | 6     | 10   | 10    | the coordinator's node | 1     | all nodes are killed               |
      | 6     | 10   | 10    | all nodes              | 1.5   | the coordinator is cut off for 3 s |
      | 6     | 10   | 10    | all nodes              | 4.9   | the coordinator is cut off for 3 s |
      | 6     | 10   | 10    | all nodes              | 1.5   | the choice of coordinator moves    |
      | 6     | 10   | 5     | all nodes              | 0.5   | the coordinator is killed          |
      | 6     | 10   | 5     | all nodes              | 0.5   | all nodes are killed               |
      | 6     | 10   | 10    | all nodes              | 0.5   | the coordinator is killed          |
      | 6     | 10   | 10    | all nodes              | 0.5   | the coordinator is paused for 2 s  |
      | 60    | 30   | 6     | all nodes              | 0.7   | the coordinator is killed          |
      | 60    | 30   | 6     | all nodes              | 1     | the coordinator is killed          |
      | 60    | 30   | 6     | all nodes              | 1     | the coordinator is paused for 2 s  |

  Scenario: Answers of a coordinator that is still gathering renew no lease
    Given a node with a valid answer that leaves 2 tokens to a customer
    When it admits 2 calls and a coordinator that is gathering answers each report
    Then it refuses the next call

  Scenario: A process that ends leaves its tokens used
    Given a coordinator that has leased tokens to a node
    When another process of that node reports
    Then the balance has fallen by the tokens of the lease

  Scenario: Few calls are refused while another node takes over from the coordinator
    Given 60 nodes and customers with quotas of 362, 60 and 6 calls a second
    When all send 0.625 of their quotas and the coordinator dies
    Then less than 1 in 20 calls was refused in the 5 s after that

  # After a loss of power of all nodes 95 of 100 calls within the quotas got 429 for 4 s.
  Scenario Outline: Customers within their quotas are served after all nodes have ended
    Given <nodes> nodes and customers with quotas of 362, 60 and 6 calls a second
    When all send 0.625 of their quotas, all nodes end at once and start 1.4 s later
    Then less than 1 in 20 calls was refused in the 5 s after that
    And no customer ran more calls in any 5 s than the bound allows

    Examples:
      | nodes |
      | 60    |
      | 17    |
      | 6     |

  # Of callers within their quotas 1 in 10 got 429 from the loss of four nodes on.
  Scenario Outline: Customers within their quotas are served while a lost coordinator returns
    Given <nodes> nodes and customers with quotas of 362, 60 and 6 calls a second
    When all send 0.625 of their quotas, and 4 nodes with the coordinator end for 3.4 s
    Then less than 1 in 20 calls was refused since they ended
    And no customer ran more calls in any 5 s than the bound allows

    Examples:
      | nodes |
      | 60    |
      | 30    |

  # A bucket that refills from far below 0 granted five sixths of what the quota allows.
  Scenario: A surge that goes on gets what the quota allows in each window
    Given 60 nodes and customers with quotas of 362, 60 and 6 calls a second
    When all send 5 times their quotas for 30 s
    Then the last 10 s had at least 0.9 of the calls that two windows allow
    And no customer ran more calls in any 5 s than the bound allows

  Scenario: Who is no longer asked leaves the other nodes to the next coordinator
    Given a coordinator to which a node has reported
    When 2 s pass in which nobody reports
    Then it pushes to no node

  Scenario: A lowered quota binds within 8 s and a raised one frees within 3 s
    Given 60 nodes and a customer with a quota of 60 calls a second
    When its quota is lowered to 30 calls a second while it sends 60
    Then it ran no more in any 5 s than the bound of the lower quota 8 s later
    When its quota is raised to 120 calls a second
    Then no call was refused later than 3 s after that

  Scenario: A node that starts has no burst of its own
    Given 60 nodes and a customer with a quota of 362 calls a second
    When no node reaches another and one of them restarts
    Then its first 20 calls after a start are all refused

  Scenario: A report that arrives twice, or late, counts once
    Given a coordinator and a report of 40 calls
    When the report arrives twice and an earlier one after it
    Then the balance has fallen by 40

  Scenario: A machine that was suspended does not use its old answer
    Given a node with a valid answer that frees all customers
    When its wall clock has moved by 60 s and its monotonic clock by none
    Then it no longer follows a coordinator

  Scenario: A call that did not run gives its token back
    Given a node with a valid answer that leaves 2 tokens to a customer
    When it admits 2 calls and one of them turns out not to have run
    Then it admits 1 more call and refuses the next

  Scenario: Nothing is sent while no customer with a quota calls
    Given 60 nodes and a customer with a quota of 6 calls a second
    When a customer without a quota sends 100 calls a second for 10 s
    Then no message was sent and no call was refused
    When the customer has called once and 10 s have passed
    Then no further message is sent

  Scenario: Malformed messages are refused
    When messages about quotas are cut, extended or changed at random
    Then each is refused with a reason or read as a valid message

  Scenario: Nodes enforce a quota over their call streams
    Given 3 nodes, a customer with key k-1 and a quota of 1 call a second and burst 4
    When it sends 30 calls to the nodes in turn
    Then 4 to 8 calls ran and the others got 429 with a Retry-After, not run
    And the entry counted as many as admitted and rejected

  Scenario: A call that no endpoint could take is refunded at the entry
    Given 3 nodes, a customer with key k-1 and a quota of 1 call a second and burst 4
    When it sends 30 calls for a service without an endpoint
    Then each got 503 and the tokens were given back

  Scenario: The bounds of quotas are read from the settings
    Given settings with the bounds quota_window_s=4, quota_overage=0.2 and quota_slack=7
    Then a node has these bounds, and 5, 0 and 0 where they are absent
    And a bound below 0 is refused with its name

  Scenario: A node on the platform enforces the quotas of its configuration
    Given the platform's store, an endpoint and a node beside it
    When the configuration grants a customer 1 call a second and a burst of 2
    Then of its next 10 calls 2 to 4 are answered with 200 and the others with 429
