Feature: The instance beside a node, by its heartbeats

  Scenario: Messages of the past change nothing
    Given a register that hears an instance start, drain, end and start again
    When heartbeats and departures come late, twice and out of order
    Then only the newest lifetime counts and one that left never takes calls again

  Scenario: A confirmed departure binds also after a restart of the node
    Given an instance that drains while its node restarts
    When the node hears nothing, then a draining heartbeat
    Then it takes no call at any moment

  Scenario: A departure that is the first a restarted node hears binds too
    Given a node that hears nothing of an instance but that it leaves
    When heartbeats from before the departure come late and the instance starts anew
    Then the late ones bring no calls and the new start does

  Scenario: A heartbeat of another writer names no instance
    Given the control address of a node
    When heartbeats come with fields missing, of other types, and unreadable
    Then each is refused and the instance that is known stays

  Scenario: What the platform asks is answered
    Given the control address of a node
    When the platform asks whether the node is ready and an instance says that it leaves
    Then ready follows the node and the departure is confirmed
