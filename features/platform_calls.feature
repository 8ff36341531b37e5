Feature: Calls with the platform's header dialect

  Scenario: An answer without a length is complete only if its connection closed cleanly
    Given a node that uses the platform's header dialect, beside an upstream
    When answers without a length end with an orderly close and with a reset
    Then only the one that was closed is passed on as a success

  Scenario: An answer to an earlier call is skipped
    Given a node that uses the platform's header dialect, beside an upstream
    When an answer to another call precedes the answer to this call
    Then this call and the next each get their own answer

  Scenario: A success status without the upstream's proof is not a success
    Given a node that uses the platform's header dialect, beside an upstream
    When a success comes without proof, with a content encoding, or with bytes after it
    Then the first two are answered with an error and the third is passed on

  Scenario: Only refusals by the upstream give status 503, which means "not run"
    Given a node that uses the platform's header dialect, beside an upstream
    When the upstream is full, drops the connection, and is another instance
    Then the first and the last give status 503 and the dropped connection 502

  Scenario: An upstream's Retry-After is passed on if it is a number of seconds
    Given a node that uses the platform's header dialect, beside an upstream
    When the upstream refuses calls with a Retry-After of 2, 0.25, ², -1, inf and 1_0
    Then each call is refused as not run, and the first two with the upstream's time

  Scenario: A connection that is too old for a call that may not run twice stays open
    Given a node that uses the platform's header dialect, beside an upstream
    When a safe call, after 1.2 s an unsafe call and then safe calls are made
    Then two connections were opened and no call was lost
