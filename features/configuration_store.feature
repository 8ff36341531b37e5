Feature: The store over HTTP and its faults
  Background:
    Given a stand-in store process and a client

  Scenario: The object API keeps its conditions
    Then writes take effect only under their conditions
    And listings and watches tell what is there

  Scenario: Faults come back as the right kinds
    Then an outage and a refused connection change nothing
    And a lost or late answer leaves the outcome unknown

  Scenario Outline: A change whose answers were lost is accepted once
    When a template is accepted while <lost> answers about "<prefix>" are lost
    Then it is version 1, complete in the store and the store counted each call

    Examples:
      | lost | prefix              |
      | 1    | configuration/blobs |
      | 2    | configuration/blobs |
      | 1    | configuration/head  |
      | 9    | configuration/head  |

  Scenario: A change whose blobs can't be stored is refused whole
    When a template is accepted while 3 answers about "configuration/blobs" are lost
    Then the refusal says that nothing changed and nothing is accepted

  Scenario: Operators on connections of their own race and lose nothing
    When 4 operators accept 6 changes each at the same time
    Then the versions run from 1 to 25 and every operator's last text stands
