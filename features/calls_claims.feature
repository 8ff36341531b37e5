Feature: A call with an idempotency key runs at most once

  @soak
  Scenario: Keepers compete and crash while the store fails
    When keepers of one partition claim keys while the store fails in every way
    Then no call ran twice under one key
    And every replayed answer belongs to its key and request
    And a new key is granted once the store has recovered

  Scenario: A keeper paused past the retention of the log grants no key that ran
    Given a keeper that was paused while another one wrote and trimmed the log
    When the paused keeper wakes and claims a key that ran meanwhile
    Then the paused keeper is not granted the key

  Scenario: A keeper whose wall clock is wrong loses no claim
    Given a keeper whose wall clock is two hours behind and that claimed a key
    When another keeper reads and trims the log
    Then the key is not granted again within its retention

  Scenario: A key stays claimed while its outcome waits for a later append
    Given a keeper with more outcomes than one append carries
    When a key whose call did not run is claimed again
    Then another keeper is not granted that key
