Feature: An odd entry beside good ones costs nobody more than itself

  Scenario Outline: The store's client passes on what stands beside an odd entry
    Given a store that answers a <call> with a good member and an odd entry of each kind
    When the client makes that call
    Then it returns the good member each time and raises nothing

    Examples: Calls
      | call  |
      | list  |
      | watch |

  Scenario: The directory refuses each odd record and keeps the good ones
    Given a directory with a good member
    When the record of another member comes with each field odd in each way
    Then each of them is refused or can be used, packed and connected to
    And the good member is still there

  Scenario: What a node passes on of an odd entry does not stop its followers
    Given a replica that holds odd entries of each kind beside a good member
    When it packs its objects for a follower
    Then the follower gets the good member

  Scenario: Odd heartbeats and departures are refused one by one
    Given the heartbeat of an instance with each field odd in each way
    When they are decoded
    Then each of them is refused or has numbers that can be packed

  Scenario: An odd configuration leaves the one in force
    Given a configuration with each of its fields odd in each way
    When they are decoded
    Then each is refused with a reason or can be put in force

  Scenario: Odd seeds, announcements and requests of operators are refused
    Given documents that are nested 100000 deep, or have numbers of 5000 digits
    When they come as seeds, announcements, requests of operators and answers to them
    Then each is refused and nothing is raised
