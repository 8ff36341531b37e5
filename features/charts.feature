Feature: Lifecycles are state charts in files that the code interprets
  Scenario: The compiled charts match their sources and the library's reading of them
    When each chart file is compiled and read by the statechart library
    Then the committed compiled form is the same
    And both interpreters reach the same states for every short run of events

  Scenario: An event that a state does not list breaks an invariant
    When a vacant lease is replaced
    Then the invariant names the chart, the event and the state
