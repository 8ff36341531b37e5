Feature: Answers that are still taken outlast a planned stop

  Scenario: An answer that is read slowly is whole though its caller sent ahead
    Given a node whose upstream answers with 3 MB
    When a caller sends a request and more behind it, and reads 0.2 s after the stop
    Then the whole answer arrives and the requests behind it ran nowhere

  Scenario: An answer is whole though its caller sent ahead and pauses before it reads
    Given a node whose upstream answers with 3 MB
    When a caller sends a request and more behind it, and reads 1.2 s after the stop
    Then the whole answer arrives and the requests behind it ran nowhere

  Scenario: An answer that another node still takes as a stop ends the calls is whole
    Given a node that enters calls for an instance whose answers have 4.2 MB
    When a caller reads its answer only as the instance's node drains and ends
    Then the whole answer of 4.2 MB arrives
