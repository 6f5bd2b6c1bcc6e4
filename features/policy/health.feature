Feature: An instance that fails is paused

  # Guards against requests that end with an internal error while an instance is
  # down for long.
  Scenario: an instance fails 2000 times in a row
    When an instance fails 2000 times in a row
    Then its pauses are 0.5, 1, 2, 4, 8 seconds, and 8 from then on
