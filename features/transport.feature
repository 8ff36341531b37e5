Feature: Nodes exchange messages by datagrams and by streams that may break

  Scenario: Messages arrive in order with the sender's control address
    Given two transports
    When each sends 50 messages of random sizes by stream and as many datagrams
    Then the streams deliver all messages in order, and all messages name their sender
    And the bytes of both are counted by purpose and pair of regions

  Scenario: Invalid frames close the stream and are not delivered
    Given two transports
    When random invalid bytes arrive on streams and as datagrams
    Then none is delivered, each is counted, and a valid message still arrives

  Scenario: A stream that is cut between any two bytes is opened again
    Given two transports and a relay between them that cuts streams
    When messages are sent while streams are cut at random bytes
    Then only complete messages arrive, in order, and the last ones do

  Scenario: A peer that reads nothing neither fills the memory nor blocks other peers
    Given two transports and a peer that accepts streams and never reads
    When 200 messages of 100 kilobytes are sent to that peer
    Then the queue stays within its limit, and the other peer still gets its message

  Scenario: A peer that is down is tried rarely and reached when it is back
    Given two transports
    When one is down, 1000 messages are sent to it, and it comes back
    Then few connections were tried, and a new message arrives

  Scenario: A peer that has restarted gets the first message sent afterwards
    Given two transports
    When one restarts while a stream to it is open and idle
    Then the first message sent to it afterwards arrives
