Feature: Answers that are still taken outlast a planned stop

  Scenario: An answer that is read slowly is whole though its caller sent ahead
    Given a node whose upstream answers with 3 MB
    When a caller sends a request and more behind it, and reads once the stop closes it
    Then the whole answer arrives and the requests behind it ran nowhere
