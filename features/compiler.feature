Feature: Incremental compilation of versions

  Scenario: Incremental compilation gives the same result as a full one
    When random edits, removals and roll-backs of templates and customers are accepted
    Then each version compiles to the same routes with and without the cache
