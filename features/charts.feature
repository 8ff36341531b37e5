Feature: State charts of lifecycles
  Scenario: Compiled charts match their sources and the statechart library
    When each chart file is loaded into the statechart library
    Then its committed compiled form is up to date
    And both interpreters reach the same states for every sequence of three events

  Scenario: An event that a state does not list raises an invariant error
    When a vacant lease is replaced
    Then the error names the chart, the event and the state
