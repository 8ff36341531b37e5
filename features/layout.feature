Feature: Imports and lengths of the source modules

  Scenario: Imports follow the order of the packages
    When the imports of every module are read
    Then there is no import cycle
    And a package imports only packages that stand before it in the list of DESIGN.md

  Scenario: Modules are short
    When the lines of every module are counted
    Then no module has more than 350 lines
