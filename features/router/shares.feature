Feature: The fair queue

  Scenario: room goes by shares, not by arrival
    Given "large" has 40 requests waiting with share 1
    And "small" has 10 requests waiting with share 1
    When 20 turns are given
    Then "small" got 10 of them

  Scenario: a share of 3 gets three times the room
    Given "heavy" has 40 requests waiting with share 3
    And "light" has 40 requests waiting with share 1
    When 20 turns are given
    Then "heavy" got 15 of them

  Scenario: a request that gives up loses no room
    Given "a" has 2 requests waiting with share 1
    When the first of them is cancelled as it gets its turn
    Then the room is given back
