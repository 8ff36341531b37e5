Feature: The layout of the source

  Scenario: Imports point one way
    When the imports of every module are read
    Then no modules import each other in a circle
    And a package imports only packages that stand before it in the list of DESIGN.md

  Scenario: A module stays readable
    When the lines of every module are counted
    Then none has more than 350
