Feature: A node tracks the instance beside it by its heartbeats

  Scenario: Late and repeated messages have no effect
    Given the messages of an instance that starts, drains, leaves and starts again
    When they arrive late, repeated and out of order
    Then only the newest lifetime counts and one that left never gets calls again

  Scenario: An instance that is draining gets no calls after a restart of its node
    Given an instance that drains while its node restarts
    When the node first receives nothing and then a draining heartbeat
    Then the instance accepts no calls at any time

  Scenario: A departure received first by a restarted node outranks earlier heartbeats
    Given a node that has received only the departure of an instance
    When heartbeats from before the departure arrive and the instance starts again
    Then only the heartbeat of the new start lets the instance accept calls

  Scenario: A delayed heartbeat after an acknowledged departure brings no instance back
    Given nodes that hold no instance, an earlier instance or a lapsed one
    When a departure without a start time is acknowledged and an earlier heartbeat arrives
    Then the instance accepts no calls until it has started again

  Scenario: A restarted node brings back no instance whose leaving it acknowledged before
    Given records of nodes that stopped after their instance had left in several ways
    When the nodes start again and a heartbeat from before arrives, early or late
    Then the instance accepts no calls until it has started again

  # An acknowledgement that only the process held was lost with it (review/4).
  Scenario Outline: A departure is acknowledged once the store holds it, not before
    Given a node beside an instance, and a store that <fault>
    When the instance says in several ways that it leaves
    Then it gets no calls from then on and no acknowledgement
    And it gets the acknowledgement once the store holds the departure

    Examples:
      | fault                   |
      | is down                 |
      | lost the node's record  |

  Scenario: A departure that was acknowledged outlives a kill of the node
    Given the stores of nodes that were killed as they acknowledged a departure
    When the nodes start again, read their records early or late, and a heartbeat comes
    Then the instance accepts no calls until it has started again
    And the stored records still name the departures

  # A process that had not read its record yet took a late heartbeat for news (soak,
  # seed 8010).
  Scenario: A node that has just started offers no instance before it knows its record
    Given the stores of nodes that were killed as they acknowledged a departure
    When the nodes start again while the store is silent, and a heartbeat comes
    Then the instance is not offered for as long as the store is silent
    And the stored records still name the departures

  Scenario: Departures one after the other are all kept
    Given a node beside which three instances have left, each after the one before
    When the node is killed and starts again
    Then no late heartbeat of any of them brings it back

  Scenario: Heartbeats don't undo what an instance said in an answer
    Given an instance that says in an answer that it leaves
    When a heartbeat that says ready arrives afterwards
    Then the instance stays draining and the node's next start will know

  Scenario: Malformed heartbeats are refused and change nothing
    Given the control address of a node
    When heartbeats arrive that lack fields, have wrong types or are unreadable
    Then each is refused and the known instance is kept

  Scenario: The platform's requests for readiness and departure are answered
    Given the control address of a node
    When the platform asks for readiness and an instance reports its departure
    Then the readiness is the node's and the departure is confirmed
