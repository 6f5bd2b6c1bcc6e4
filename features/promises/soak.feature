@alone
Feature: The invariants hold while several faults overlap

  Scenario Outline: a soak with one seed
    When the soak runs with seed <seed>
    Then no invariant is violated

    Examples:
      | seed |
      | 11   |
      | 13   |
      | 1018 |
      | 9001 |
      | 10054 |
      | 40271 |
