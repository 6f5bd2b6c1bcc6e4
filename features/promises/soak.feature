@alone
Feature: Nothing promised is broken while faults overlap

  Scenario Outline: a seed of the soak
    When the soak plays seed <seed>
    Then no promise was broken

    Examples:
      | seed |
      | 11   |
      | 13   |
      | 1018 |
