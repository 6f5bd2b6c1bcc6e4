Feature: A router stays with its leader while it answers

  Background:
    Given a router that is attached to leader A

  # Guards against operators and callers that wait for the end of a stream to a
  # leader without power although another one was elected.
  Scenario: another leader introduces itself after the leader has gone silent
    When leader A is silent for 0.9 seconds
    And leader B introduces itself
    Then the router is attached to leader B within 0.3 seconds

  # Guards against an error while the wait for the silent leader ends.
  Scenario: several introductions arrive at the same moment
    When leader A is silent for 0.9 seconds
    And leader B introduces itself 10 times at once
    Then the router is attached to leader B within 0.3 seconds

  Scenario: another leader introduces itself while the leader answers
    When leader B introduces itself
    Then the router is still attached to leader A after 0.5 seconds

  # Guards against a router that never attaches again, since the task that sends
  # reports does not end with its stream.
  Scenario: a stream ends in the moment in which a report is requested
    When the sending of reports is cancelled 0 to 5 steps after a request
    Then no cancellation is ignored
