Feature: Claims of idempotency keys

  Scenario: an expired key is refused even if the retention is increased
    Given a claim with a retention of 60 seconds that is done
    When 100 seconds pass and other keys are claimed
    And the key is claimed with a retention of 3600 seconds
    Then the state is "EXPIRED"

  Scenario: a clock that is set back does not make an expired key valid
    Given a claim with a retention of 60 seconds that is done
    When 100 seconds pass and other keys are claimed
    And the clock is set back by 90 seconds
    And the key is claimed with a retention of 60 seconds
    Then the state is "EXPIRED"

  Scenario: a released key can be claimed again
    Given a claim with a retention of 60 seconds that was released
    When the key is claimed with a retention of 60 seconds
    Then the state is "GRANTED"

  Scenario: claims are restored from a snapshot
    Given a claim with a retention of 60 seconds that is done
    When the claims are saved and restored
    And the key is claimed with a retention of 60 seconds
    Then the state is "DONE"
