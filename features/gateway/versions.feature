Feature: A stream holds events of one software version

  # Guards against streams that were resumed at an instance of another version.
  Scenario: a broken stream is resumed only at the version that began it
    Given a gateway for streaming resumable requests whose instances stream cut unless resumed
    And its instances have the versions v1, v1, v1.1
    When 20 callers send a request one after the other
    Then no stream holds events of two versions
    And the streams that began at v1.1 are broken

  Scenario: a broken stream goes on at another instance of its version
    Given a gateway for streaming resumable requests whose instances stream cut unless resumed
    And its instances have the versions v1, v1, v1.1
    When 3 callers send a request one after the other
    Then the streams that began at v1 are whole

  Scenario: a stream is broken off at once if no other instance has its version
    Given a gateway for streaming resumable requests whose instances stream cut later; stream
    And its instances have the versions v1, v1.1, v1.2
    When a caller sends a request
    Then it gets 200, and 1 requests arrived
    And the caller sees that the answer is incomplete
    And it is answered within 500 ms

  Scenario: an attempt without events leaves the version open
    Given a gateway for streaming resumable requests whose instances chunked stream without events; stream
    And its instances have the versions v1, v1.1, v1.2
    When a caller sends a request
    Then it gets 200, and 2 requests arrived
    And no stream holds events of two versions
    And the stream is whole

  Scenario: requests without events may be repeated at any version
    Given a gateway for idempotent requests whose instances fail; answer
    And its instances have the versions v1, v1.1, v1.2
    When a caller sends a request
    Then it gets 200, and 2 requests arrived

  Scenario: a stream through another gateway is resumed only at its version
    Given a gateway for streaming resumable requests that reaches no instance, and another one whose instances stream cut unless resumed
    And its instances have the versions v1, v1, v1.1
    When 20 callers send a request one after the other
    Then no stream holds events of two versions

  Scenario: a stream through another gateway goes on at its version
    Given a gateway for streaming resumable requests that reaches no instance, and another one whose instances stream cut unless resumed
    And its instances have the versions v1, v1, v1.1
    When 3 callers send a request one after the other
    Then the streams that began at v1 are whole

  # Guards against an older gateway in the fleet, which chooses any instance.
  Scenario: the other gateway does not choose by version
    Given a gateway for streaming resumable requests that reaches no instance, and another one whose instances stream cut unless resumed
    And its instances have the versions v1, v1, v1.1
    And the other gateway knows no versions
    When 20 callers send a request one after the other
    Then no stream holds events of two versions
