Feature: A stream holds events of one software version

  # Guards against streams that were resumed at an instance of another version.
  Scenario: a broken stream is resumed only at the version that began it
    Given a gateway for streaming resumable requests whose instances stream cut later
    And its instances have the versions v1, v1, v1.1
    When 20 callers send a request one after the other
    Then no stream holds events of two versions
