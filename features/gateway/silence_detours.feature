Feature: An answer through another gateway is given up only if another attempt can follow

  Scenario Outline: a silent instance goes on, and no retry is left
    Given a gateway without a retry budget for <kind> requests that reaches no instance, and another one whose instances <step>
    When a caller sends a request
    Then it gets 200, and 1 requests arrived

    Examples:
      | kind                | step                 |
      | streaming resumable | stream with a pause  |
      | idempotent          | answer after a pause |

  # Guards against streams that are cut although their instance goes on.
  Scenario Outline: a stream is not given up if the other gateway cannot take it again
    Given a gateway for streaming resumable requests that reaches no instance, and another one whose instances stream with a pause
    When a caller sends a request, and meanwhile the <event>
    Then the caller has every event once, in order

    Examples:
      | event                           |
      | instances are leaving           |
      | other gateway refuses requests  |
      | other gateway is not listed     |
      | lease of the other gateway ends |

  Scenario: a stream is not given up if the other gateway has no other instance of its version
    Given a gateway for streaming resumable requests that reaches no instance, and another one whose instances stream with a pause
    And its instances have the versions v1, v1.1, v1.2
    When a caller sends a request
    Then the caller has every event once, in order

  # Guards against streams that move between instances of which none is at fault.
  Scenario Outline: answers go on where they are while all instances are silent
    Given a gateway for <kind> requests that reaches no instance, and another one whose instances <step>
    When 12 callers send a request at the same time
    Then 12 requests arrived, and all are answered completely

    Examples:
      | kind                | step                 |
      | streaming resumable | stream with a pause  |
      | idempotent          | answer after a pause |

  Scenario: an instance that alone is silent is left
    Given a gateway for streaming resumable requests that reaches no instance, and another one whose instances stream and wait; stream
    When a caller sends a request
    Then it gets 200, and 2 requests arrived
    And the caller has every event once, in order

  Scenario: the other gateway stops while the instance of a stream is silent
    Given a gateway for streaming resumable requests that reaches no instance, and another one whose instances stream with a pause
    When a caller sends a request, and meanwhile the other gateway gets SIGTERM
    Then it gets 200, and 1 requests arrived
    And the caller has every event once, in order

  Scenario: a request that may not run twice waits through the silence of its instance
    Given a gateway for non_idempotent requests that reaches no instance, and another one whose instances answer after a pause
    When a caller sends a request, and meanwhile the other gateway gets SIGTERM
    Then it gets 200, and 1 requests arrived
    And the answer is the complete answer of an instance
