Feature: A gateway refuses requests with parts that crash instances

  Scenario Outline: a request with the part is refused at once
    Given a gateway for <kind> requests whose instances <steps>
    And the leader has barred requests with the part f
    When a request arrives whose prompt has the parts a,f,own
    Then it gets 503, and 0 requests arrived
    And it is answered within 500 ms
    When a request arrives whose prompt has the parts a,b,f
    Then it gets 200, and 1 requests arrived

    Examples:
      | kind                | steps  |
      | idempotent          | answer |
      | non_idempotent      | answer |
      | streaming           | stream |
      | streaming resumable | stream |

  Scenario: a stream is not resumed after the part is barred
    Given a gateway for streaming resumable requests whose instances stream cut; stream
    And the leader bars requests with the part f as soon as one arrives
    When a request arrives whose prompt has the parts a,f,own
    Then it gets 200, and 1 requests arrived
    And the caller sees that the answer is incomplete

  Scenario: a request is not repeated after the part is barred
    Given a gateway for idempotent requests whose instances end; answer
    And the leader bars requests with the part f as soon as one arrives
    When a request arrives whose prompt has the parts a,f,own
    Then it gets 502, and 1 requests arrived

  # Guards against requests that wait at an instance when their part is barred,
  # and crash it once they run.
  Scenario Outline: a request that is barred while an instance has it is withdrawn
    Given a gateway for <kind> requests whose instances silent; <then>
    And the leader bars requests with the part f, never answered, 0.05 s after one arrives
    When a request arrives whose prompt has the parts a,f,own
    Then it gets 502, and 1 requests arrived
    And it is answered within 500 ms
    And it is answered as one that may have run
    And its instance sees that the connection is closed

    Examples:
      | kind                | then   |
      | idempotent          | answer |
      | non_idempotent      | answer |
      | streaming           | stream |
      | streaming resumable | stream |

  Scenario: a request through another gateway is withdrawn
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances silent; answer
    And the leader bars requests with the part f, never answered, 0.05 s after one arrives
    When a request arrives whose prompt has the parts a,f,own
    Then it gets 502, and 1 requests arrived
    And it is answered within 500 ms
    And it is answered as one that may have run
    And its instance sees that the connection is closed

  Scenario: a request without the part is not withdrawn
    Given a gateway for non_idempotent requests whose instances silent
    And the leader bars requests with the part f, never answered, 0.05 s after one arrives
    When a request arrives whose prompt has the parts a,b,f
    Then it was not answered before its deadline

  # Its answer may show that the part was barred by mistake.
  Scenario: a request whose part was answered before is not withdrawn
    Given a gateway for non_idempotent requests whose instances silent
    And the leader bars requests with the part f, answered before, 0.05 s after one arrives
    When a request arrives whose prompt has the parts a,f,own
    Then it was not answered before its deadline

  Scenario: a request whose response has begun is not withdrawn
    Given a gateway for streaming requests whose instances stream and wait
    And the leader bars requests with the part f, never answered, 0.1 s after one arrives
    When a request arrives whose prompt has the parts a,f,own
    Then it was not answered before its deadline

  Scenario: a request that the leader permitted is not withdrawn
    Given a gateway for non_idempotent requests whose instances silent
    And the leader permits one request with the part f
    And the leader bars requests with the part f, never answered, 0.05 s after one arrives
    When a request arrives whose prompt has the parts a,f,own
    Then it was not answered before its deadline

  # Guards against several requests that run at once and crash their instances.
  Scenario: a permit is kept while the instance of its request is silent
    Given a gateway for idempotent requests whose instances answer after a pause
    And the leader gives one permit at a time for the part f
    When a request arrives whose prompt has the parts a,f,own
    Then no permit was given back while an instance had the request
    And the answer is the complete answer of an instance

  Scenario: a withdrawn request counts if its instance crashes right after
    Given a gateway for non_idempotent requests whose instances silent
    And the leader bars requests with the part f, never answered, 0.05 s after one arrives
    When a request arrives whose prompt has the parts a,f,own
    And the instances that got requests crash
    And 0.8 seconds pass at the gateway
    Then 1 ends of instances are detected, with 1 requests

  Scenario: a withdrawn request does not count if its instance lives
    Given a gateway for non_idempotent requests whose instances silent
    And the leader bars requests with the part f, never answered, 0.05 s after one arrives
    When a request arrives whose prompt has the parts a,f,own
    And 0.8 seconds pass at the gateway
    Then 0 ends of instances are detected, with 0 requests

  Scenario: a repeat waits for the decision about its parts
    Given a gateway for idempotent requests whose instances end; answer
    And the leader asks about the part f, and bars it 0.2 s after an end
    When a request arrives whose prompt has the parts a,f,own
    Then it gets 502, and 1 requests arrived

  Scenario: a repeat whose parts are not in question does not wait
    Given a gateway for idempotent requests whose instances end; answer
    And the leader asks about the part f, and bars it 0.2 s after an end
    When a request arrives whose prompt has the parts a,b,own
    Then it gets 200, and 2 requests arrived

  Scenario: a gateway that is cut off does not forward a request with the part
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    And the leader has barred requests with the part f
    When a request arrives whose prompt has the parts a,f,own
    Then it gets 503, and 0 requests arrived

  Scenario: the other gateway refuses a forwarded request with the part
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    And only the other gateway knows that requests with the part f are barred
    When a request arrives whose prompt has the parts a,f,own
    Then it gets 503, and 0 requests arrived
