Feature: A stream reaches its caller complete or visibly broken

  Scenario: a complete stream
    Given a gateway for streaming requests whose instances stream
    When a caller sends a request
    Then the caller has every event once, in order

  Scenario: a broken stream is resumed on another instance
    Given a gateway for streaming resumable requests whose instances stream cut; stream
    When a caller sends a request
    Then it gets 200, and 2 requests arrived
    And the caller has every event once, in order

  Scenario: a stream whose instance stops sending is resumed on another instance
    Given a gateway for streaming resumable requests whose instances stream and wait; stream
    When a caller sends a request
    Then it gets 200, and 2 requests arrived
    And the caller has every event once, in order
    And the instance sees the disconnect within half a second

  Scenario: a stream that may not be resumed is cut
    Given a gateway for streaming requests whose instances stream cut; stream
    When a caller sends a request
    Then it gets 200, and 1 requests arrived
    And the caller sees that the answer is incomplete

  # Guards against streams passed on as complete whose connection broke.
  Scenario: a stream that ends inside an event is not passed on as complete
    Given a gateway for streaming requests whose instances unframed stream ended in an event
    When a caller sends a request
    Then it gets 200, and 1 requests arrived
    And the caller sees that the answer is incomplete
    And the caller has only whole events

  Scenario: a stream that outlasts its route's timeout is cut
    Given a gateway for streaming requests whose instances stream and wait
    When a caller sends a request
    Then the caller sees that the answer is incomplete

  Scenario Outline: the disconnect of a caller reaches its instance at once
    Given a gateway for <kind> requests whose instances <steps>
    When a caller disconnects while its request runs
    Then the instance sees the disconnect within half a second

    Examples:
      | kind           | steps           |
      | streaming      | stream and wait |
      | streaming      | silent          |
      | non_idempotent | silent          |
