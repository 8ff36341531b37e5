Feature: The HTTP store client and store faults
  Background:
    Given a stand-in store process and a client

  Scenario: Conditional writes, listings and watches
    Then conditional writes and deletes take effect only if their condition holds
    And listings and watches return the stored objects

  Scenario: Store faults are reported by kind of failure
    Then calls in an outage or without a connection fail as unavailable, changing nothing
    And writes whose answer is lost or late fail with an unknown outcome

  Scenario Outline: A change is accepted once although answers are lost
    When a template is submitted while <lost> answers about "<prefix>" are lost
    Then it is version 1, all its blobs are in the store and its calls were counted

    Examples:
      | lost | prefix              |
      | 1    | configuration/blobs |
      | 2    | configuration/blobs |
      | 1    | configuration/head  |
      | 9    | configuration/head  |

  Scenario: A change whose blobs can't be stored is not accepted
    When a template is submitted while 3 answers about "configuration/blobs" are lost
    Then the change fails as store unavailable and the store has no head

  Scenario: Concurrent changes over separate connections are all accepted
    When 4 operators submit 6 changes each at the same time
    Then versions 1 to 25 are accepted and each operator's last text is current
