Feature: An idempotency key runs at most once

  @soak
  Scenario: Keepers race, pause, crash and lose answers of the store
    When keepers of one partition claim keys under every fault of the store
    Then no key ran twice
    And every repeated answer was the key's own
    And once the store is well a new key is granted

  Scenario: A keeper paused past the retention of the log changes nothing
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
    Then another keeper never takes that key for free
