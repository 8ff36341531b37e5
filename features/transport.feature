Feature: Nodes exchange messages over datagrams and streams that may break

  Scenario: Messages arrive in order with the sender's control address
    Given two transports
    When each sends 50 messages of many sizes by stream and by datagram
    Then each stream arrives whole and in order, and datagrams name their sender
    And the bytes of both are counted by purpose and pair of regions

  Scenario: Wrong frames close the stream and apply nothing
    Given two transports
    When any bytes arrive on streams and as datagrams
    Then none is handed on, each is counted, and a right message still arrives

  Scenario: A stream that is cut between any two bytes is opened again
    Given two transports with a relay between them that cuts streams
    When messages are sent while streams are cut at random bytes
    Then only whole messages arrive, in order, and the last one does

  Scenario: A peer that takes nothing holds no memory and blocks nobody
    Given two transports and a peer that accepts and never reads
    When 200 messages of 100 kilobytes are sent to that peer
    Then what is queued stays under the bound, and the other peer still gets its message

  Scenario: A peer that is gone is tried again seldom and reached when it is back
    Given two transports
    When one is gone, 1000 messages are sent to it, and it comes back
    Then few connections were tried, and it gets a new message

  Scenario: A peer that started anew gets the first message that is sent after
    Given two transports
    When one starts anew while a stream to it is open and idle
    Then the first message that is sent to it after arrives
