Feature: Generated pages and examples match the code

  Scenario: the reference pages match the code
    Then every page in docs/reference is up to date

  Scenario: the examples are valid
    Then every settings file and bundle in examples is valid
    And each signed bundle matches its YAML file and its signers

  Scenario: the capacity page matches the measurements
    Then the tables of docs/CAPACITY.md match bench/results.json
