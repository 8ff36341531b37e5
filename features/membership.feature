Feature: Members keep consistent views while parts of the mesh fail

  @soak
  Scenario: Views stay correct under mixed faults and converge when the faults end
    When meshes of members go through random sequences of faults
    Then no invariant of membership was broken

  Scenario: Within 3 s no view offers the endpoint of a leaving member
    Given a mesh of 100 members in 2 regions that loses 10% of its datagrams
    When a member starts to leave
    Then after 3 s no view offers its endpoint

  Scenario: Members of a partitioned region become suspect, not dead, and get no calls
    Given a mesh of 40 members in 2 regions
    When the regions are partitioned from each other for 120 s
    Then each view holds the other region's members as suspect only
    And no view offers an endpoint of the other region
    When the partition heals and 20 s pass
    Then all views show all running members as alive

  Scenario: Members that crash together are removed from all views and can restart
    Given a mesh of 40 members in 2 regions
    When 30% of the members crash at once
    And 30 s pass
    Then all views show all running members as alive
    When a crashed member restarts under a new id at its old address
    And another crashed member restarts under its old id
    And 10 s pass
    Then all views show all running members as alive

  Scenario: A member that starts at the address of a crashed one replaces it
    Given a mesh of 30 members in 2 regions
    When a member crashes and a new one starts at its address immediately
    And 2 s pass
    Then all views hold the new member and none holds the crashed one

  Scenario: A suspect whose refutation is lost is probed again before it is dead
    Given a mesh of 40 members in 2 regions
    When all members suspect a healthy one while neither updates nor tables are sent
    And 16 s pass
    Then all views still hold the accused member

  Scenario: A member that resumes after a pause accuses no other member
    Given a mesh of 20 members in 2 regions
    When a member is paused for 40 s
    And 15 s pass
    Then all views show all running members as alive
    And the paused member accused nobody

  Scenario: Of two members with the same id one reports a fault
    Given a mesh of 6 members in 2 regions
    When a member with the id of another starts at another address
    And 20 s pass
    Then exactly one of the two reports a fault

  Scenario: The traffic of a member does not grow with the size of the mesh
    When the traffic of idle meshes of 20 and 80 members is measured for 20 s
    Then a member sends at most 1.1 times as many bytes in the larger mesh
    And a mesh whose members all change repeatedly stays within the byte budget

  Scenario: Claims merge to the same record in any order
    When claims about a member are merged in every order
    Then every order gave the same record and the same hashes

  Scenario: Malformed membership frames change nothing
    When a member receives random, truncated and wrongly typed claims
    Then its view is unchanged and the claims are counted as malformed

  Scenario: News that a member leaves goes to other regions as often as other changes
    Given a disseminator with members near by and in another region
    When news of each priority is queued and rounds of it are sent
    Then leaving and changed members cross regions alike, background news far less
