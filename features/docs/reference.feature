Feature: The pages tell what the code does

  Scenario: the reference pages are those that the code writes
    Then every page under docs/reference is up to date

  Scenario: the examples are right
    Then every settings file and bundle under examples is valid
    And the signed bundles are those that were signed

  Scenario: the capacity page is made from the measurements
    Then the tables of docs/CAPACITY.md are those of bench/results.json
