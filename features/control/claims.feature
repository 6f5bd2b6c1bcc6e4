Feature: Claims of idempotency keys

  Scenario: a key that was forgotten is refused even if the retention grows
    Given a claim with a retention of 60 seconds that is done
    When 100 seconds pass and other keys are claimed
    And the key is claimed with a retention of 3600 seconds
    Then the state is "EXPIRED"

  Scenario: a clock that goes back does not revive a key
    Given a claim with a retention of 60 seconds that is done
    When 100 seconds pass and other keys are claimed
    And the clock goes back by 90 seconds
    And the key is claimed with a retention of 60 seconds
    Then the state is "EXPIRED"

  Scenario: a claim that was given back can be had again
    Given a claim with a retention of 60 seconds that was given back
    When the key is claimed with a retention of 60 seconds
    Then the state is "GRANTED"

  Scenario: claims survive a snapshot
    Given a claim with a retention of 60 seconds that is done
    When the claims are saved and restored
    And the key is claimed with a retention of 60 seconds
    Then the state is "DONE"
