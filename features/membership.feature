Feature: Members know each other while parts of the mesh fail

  @soak
  Scenario: Views stay true under mixed faults and agree when the faults end
    When meshes of members live through mixed faults
    Then no invariant of membership was broken

  Scenario: A leaving member takes no new work anywhere within 3 s
    Given a mesh of 100 members in 2 regions that loses 10% of its datagrams
    When a member starts to leave
    Then after 3 s no view offers its endpoint

  Scenario: A region that is cut off for minutes is neither dead nor routed to
    Given a mesh of 40 members in 2 regions
    When the regions are cut from each other for 120 s
    Then each view holds the other region's members as suspect only
    And no view offers an endpoint of the other region
    When the cut ends and 20 s pass
    Then all views show all running members as alive

  Scenario: A herd that crashes is dead everywhere and a restart replaces the old
    Given a mesh of 40 members in 2 regions
    When 30% of the members crash at once
    And 30 s pass
    Then all views show all running members as alive
    When a crashed member restarts under a new id at its old address
    And another crashed member restarts under its old id
    And 10 s pass
    Then all views show all running members as alive

  Scenario: A member that starts at the address of another replaces it at once
    Given a mesh of 30 members in 2 regions
    When a member crashes and a new one starts at its address at once
    And 2 s pass
    Then no view holds the crashed one

  Scenario: A suspect whose refutation is lost is asked again before it is dead
    Given a mesh of 40 members in 2 regions
    When a healthy member is accused to all while no update and no table passes
    And 16 s pass
    Then all views hold the accused member

  Scenario: A paused member doubts itself and not the others
    Given a mesh of 20 members in 2 regions
    When a member is paused for 40 s
    And 15 s pass
    Then all views show all running members as alive
    And the paused member accused nobody

  Scenario: Of two members with one id only one stays
    Given a mesh of 6 members in 2 regions
    When a twin of a member starts at another address
    And 20 s pass
    Then exactly one of the twins reports a fault

  Scenario: The load of a member does not grow with the mesh
    When calm meshes of 20 and 80 members are measured for 20 s
    Then a member sends at most 1.1 times as many bytes in the larger mesh
    And a mesh whose members all change at once stays within the byte budget

  Scenario: Claims merge to the same record in any order
    When claims about a member are merged in every order
    Then the order made no difference

  Scenario: Malformed membership frames change nothing
    When members receive malformed, truncated and foreign claims
    Then their tables are as before and the claims are counted
