Feature: An answer is given up only if another attempt can follow

  Scenario: a stream is not given up while its instance is silent and no retry is left
    Given a gateway without a retry budget for streaming resumable requests whose instances stream with a pause
    When a caller sends a request
    Then it gets 200, and 1 requests arrived
    And the caller has every event once, in order

  Scenario: an answer is not given up before its first byte if no retry is left
    Given a gateway without a retry budget for idempotent requests whose instances answer after a pause
    When a caller sends a request
    Then it gets 200, and 1 requests arrived
    And the answer is the complete answer of an instance

  Scenario: a stream is not given up if no other instance has its version
    Given a gateway for streaming resumable requests whose instances stream with a pause
    And its instances have the versions v1, v1.1, v1.2
    When a caller sends a request
    Then it gets 200, and 1 requests arrived
    And the caller has every event once, in order

  Scenario Outline: a stream is not given up if no other instance can take it
    Given a gateway for streaming resumable requests whose instances stream with a pause
    When a caller sends a request, and meanwhile <event>
    Then it gets 200, and 1 requests arrived
    And the caller has every event once, in order
    And the lines tell that the answer was awaited, as cannot_be_prepared for <code>

    Examples:
      | event                                  | code    |
      | the other instances refuse connections | HP-3015 |
      | the other instances are leaving        | HP-3203 |
      | its route is removed                   | HP-3201 |
      | its key is revoked                     | HP-3202 |
      | the lease ends                         | HP-3005 |

  Scenario: an instance with a free slot is preferred for the next attempt
    Given a gateway for streaming resumable requests whose instances stream and wait; stream
    When a caller sends a request, and meanwhile one of the other instances is full
    Then the caller has every event once, in order
    And the second attempt was not made at the full instance

  # Guards against streams that move between instances of which none is at fault.
  Scenario Outline: answers go on where they are while all instances are silent
    Given a gateway for <kind> requests whose instances <step>
    When 12 callers send a request at the same time
    Then 12 requests arrived, and all are answered completely
    And no instance was avoided

    Examples:
      | kind                | step                 |
      | streaming resumable | stream with a pause  |
      | idempotent          | answer after a pause |

  Scenario: an instance that alone is silent is left and avoided
    Given a gateway for streaming resumable requests whose instances stream slowly
    And one of its instances is silent after its first event
    When 12 callers send a request at the same time
    Then all are answered completely
    And only the silent instance was avoided

  Scenario: no stream moves to another instance that is silent
    Given a gateway for streaming resumable requests whose instances stream slowly
    And two of its instances are silent after their first event
    When 9 callers send a request at the same time
    Then all are answered completely
    And no stream went on at a silent instance

  Scenario: an instance that alone is silent is avoided also if its answers go on
    Given a gateway without a retry budget for streaming resumable requests whose instances stream slowly
    And one of its instances pauses after its first event
    When 5 callers send a request at the same time
    Then 5 requests arrived, and all are answered completely
    And only the silent instance was avoided

  Scenario: an instance goes on while the next attempt is prepared
    Given a gateway for streaming resumable requests whose instances stream with a pause
    When a caller sends a request, and meanwhile connections take 400 ms
    Then it gets 200, and 1 requests arrived
    And the caller has every event once, in order
    And the budget has 0 retries less
    And nothing is held for another attempt

  Scenario: a retry is spent only once for an attempt that was reserved
    Given a gateway for streaming resumable requests whose instances stream and wait; stream
    When a caller sends a request
    Then it gets 200, and 2 requests arrived
    And the budget has 1 retries less
    And nothing is held for another attempt

  # Guards against a stream of two versions.
  Scenario: an event arrives after an attempt at another version was reserved
    Given a gateway for streaming resumable requests whose instances silent; stream
    And its instances have the versions v1, v1, v1.1
    When a caller sends a request whose first event comes late, from v1.1
    Then the second attempt is made at v1.1, or none is
    And nothing is held for another attempt

  Scenario: an instance that is silent for good keeps its answer until the deadline
    Given a gateway without a retry budget for streaming resumable requests whose instances stream and wait
    When a caller sends a request, and its lines are kept
    Then the caller sees that the answer is incomplete
    And its last line tells that no attempt followed, as no_budget_left
