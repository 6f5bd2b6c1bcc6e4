Feature: Weighted fair queue

  Scenario: slots are granted by share, not by order of arrival
    Given "large" has 40 requests waiting with share 1
    And "small" has 10 requests waiting with share 1
    When 20 slots are granted
    Then "small" is granted 10 of them

  Scenario: a share of 3 gets three times as many slots
    Given "heavy" has 40 requests waiting with share 3
    And "light" has 40 requests waiting with share 1
    When 20 slots are granted
    Then "heavy" is granted 15 of them

  Scenario: the slot of a cancelled request is not lost
    Given "a" has 2 requests waiting with share 1
    When the first of them is cancelled as its slot is granted
    Then the slot is returned
