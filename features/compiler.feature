Feature: A node compiles a version with what it kept of the one before

  Scenario: The outcome is the same as compiling from nothing
    When templates and customers are edited, removed and rolled back at random
    Then each version compiles to the same routes with and without what was kept
