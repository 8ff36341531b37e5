Feature: Calls in the platform's words

  Scenario: An answer without a length counts as whole only if its connection ended well
    Given a node that speaks the platform's words beside an upstream
    When answers without a length end with a close and with a reset
    Then only the closed one is passed on as a success

  Scenario: An answer to an earlier call is skipped
    Given a node that speaks the platform's words beside an upstream
    When an answer to another call comes before that of this call
    Then the caller gets its own answer and the next call too

  Scenario: A success without the upstream's proof is none
    Given a node that speaks the platform's words beside an upstream
    When a success comes without proof, encoded, or with bytes behind it
    Then the first two are failures and the third is passed on whole

  Scenario: The statuses that promise "not run" are true
    Given a node that speaks the platform's words beside an upstream
    When the upstream refuses as full, loses its answer, and is another instance
    Then the lost one promises nothing and the others are refused as not run
