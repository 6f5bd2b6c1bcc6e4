Feature: An answer is given up only if another attempt can follow

  Scenario: a stream is not given up while its instance is silent and no retry is left
    Given a gateway without a retry budget for streaming resumable requests whose instances stream with a pause
    When a caller sends a request
    Then it gets 200, and 1 requests arrived
    And the caller has every event once, in order
