Feature: What ends of instances show about the requests that were under way

  Scenario: A deadly request is isolated after one end and held back after the third
    Given a service of 6 instances, and a request that ends each one that runs it
    When it comes 12 times a second for 20 s among 400 others a second
    Then it is held back after at most 6 ends, and runs no more from then on
    And no other request is held back

  Scenario: Requests that ran beside a deadly one, and were sent again, are not held back
    Given a service of 6 instances, and a request that ends each one that runs it
    When bystanders of each end are sent again at once, three times
    Then the deadly request is held back
    And no other request is held back

  Scenario: A common request that was under way at many killed instances is not held back
    Given a service of 6 instances, and one request that all callers send
    When all instances are killed within half a second, five times, and come back
    Then no request is held back
    And the request is free again within a second of each return

  Scenario: A common request is not held back for a deadly one that runs beside it
    Given a service of 6 instances, and a request that ends each one that runs it
    When it comes among requests that are all the same, 400 a second
    Then the deadly request is held back
    And no other request is held back

  Scenario: Instances that are killed one after the other hold no request back
    Given a service of 6 instances, and no deadly request
    When 60 are killed one after the other, a second apart, and callers send again
    Then no request is held back

  Scenario: Each of many deadly requests is held back
    Given a service of 12 instances, and 5 requests that end each one that runs them
    When they come once a second each for 60 s among 400 others a second
    Then all of the deadly ones are held back and no other request is

  Scenario: A request that is answered while it is held back is let go
    Given a request that is held back
    When an instance answers a run of it that began before
    Then it is free, at each node that hears of it, also if it hears of the hold later

  Scenario: An operator lets a request go; it is held back again if it is deadly
    Given a request that is held back
    When an operator releases it and three more instances end under it
    Then a node that hears all of it in any order holds it back

  Scenario: A hold ends with time; one more end renews it for twice as long
    Given a request that is held back
    When the hold has lapsed
    Then the request runs in isolation, and one end there holds it back for two hours

  Scenario: Notices may come in any order and more than once
    Given the notices of a deadly request, of bystanders and of an operator
    When two nodes learn them in different orders, some of them twice
    Then both give the same verdict on each request

  Scenario: Evidence and holds are bounded
    Given a quarantine
    When a thousand instances end under different requests and a thousand are held back
    Then no more than the stated numbers are kept, the newest ones

  Scenario: Malformed notices are refused
    Given each kind of notice
    When single fields are replaced, dropped, added or nested, or bytes are cut off
    Then decoding raises nothing and refuses what is not a notice
