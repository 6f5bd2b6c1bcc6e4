Feature: A gateway that reaches no instance sends requests through another one

  Scenario Outline: what a caller gets through another gateway
    Given a gateway for <kind> requests that reaches no instance, and another one whose instances <steps>
    When a caller sends a request
    Then it gets <status>, and <count> requests arrived

    Examples: a non-idempotent request is repeated only if it did not run
      | kind           | steps                  | status | count |
      | non_idempotent | answer                 | 200    | 1     |
      | non_idempotent | fail                   | 500    | 1     |
      | non_idempotent | close; answer          | 502    | 1     |
      | non_idempotent | reset; answer          | 502    | 1     |
      | non_idempotent | cut; answer            | 502    | 1     |
      | non_idempotent | garbage; answer        | 502    | 1     |
      | non_idempotent | unsigned; answer       | 502    | 1     |
      | non_idempotent | busy; answer           | 502    | 1     |
      | non_idempotent | silent; answer         | 504    | 1     |
      | non_idempotent | not run; answer        | 200    | 2     |
      | non_idempotent | misdirected; answer    | 200    | 2     |
      | non_idempotent | not run                | 503    | 3     |
      | streaming      | close; stream          | 502    | 1     |
      | streaming      | not run; stream        | 200    | 2     |

    Examples: an idempotent request is repeated up to the limit of its route
      | kind       | steps                | status | count |
      | idempotent | close; answer        | 200    | 2     |
      | idempotent | fail; answer         | 200    | 2     |
      | idempotent | unsigned; answer     | 200    | 2     |
      | idempotent | garbage; answer      | 200    | 2     |
      | idempotent | fail; fail; answer   | 500    | 2     |
      | idempotent | close; close; answer | 502    | 2     |
      | idempotent | close; not run       | 502    | 3     |
      | idempotent | silent; answer       | 200    | 2     |

  Scenario Outline: only a complete answer is passed on
    Given a gateway for non_idempotent requests that reaches no instance, and another one whose instances <steps>
    When a caller sends a request
    Then the answer is the complete answer of an instance

    Examples:
      | steps                |
      | answer               |
      | foreign, then answer |
      | unframed             |
      | not run; answer      |

  Scenario: the key stays at the gateway that the caller sent it to
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances fail; answer
    When a caller sends a request
    Then each arrival has the account and the instance, and no key

  Scenario Outline: a stream passes through another gateway
    Given a gateway for <kind> requests that reaches no instance, and another one whose instances <steps>
    When a caller sends a request
    Then the caller has every event once, in order

    Examples:
      | kind                | steps                                     |
      | streaming           | stream                                    |
      | streaming resumable | stream cut; stream                        |
      | streaming           | unframed stream whole                     |
      | streaming resumable | unframed stream ended in an event; stream |
      | streaming resumable | chunked stream ended in an event; stream  |

  Scenario Outline: a stream that may not be resumed breaks visibly
    Given a gateway for streaming requests that reaches no instance, and another one whose instances <steps>
    When a caller sends a request
    Then the caller sees that the answer is incomplete
    And the caller has only whole events

    Examples:
      | steps                                     |
      | stream cut; stream                        |
      | unframed stream ended in an event; stream |
      | chunked stream ended in an event; stream  |

  Scenario Outline: a caller disconnects
    Given a gateway for <kind> requests that reaches no instance, and another one whose instances <steps>
    When a caller disconnects while its request runs
    Then the instance sees the disconnect within half a second

    Examples:
      | kind           | steps           |
      | non_idempotent | silent          |
      | streaming      | stream and wait |

  Scenario: the other gateway has an older configuration
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    When the other gateway has an older configuration
    And a caller sends a request
    Then it gets 503, and 0 requests arrived
    And its error has "ran" set to False
    And it has a Retry-After

  Scenario: the newer configuration of the other gateway has no such account
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    When the configuration of the other gateway has no such account
    And a caller sends a request
    Then it gets 503, and 0 requests arrived
    And its error has "ran" set to False

  Scenario: the lease of the other gateway has ended
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    When the lease of the other gateway ends
    And a caller sends a request
    Then it gets 503, and 0 requests arrived
    And its error has "ran" set to False

  Scenario: a forwarded request is not forwarded again
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    When the other gateway is cut off, too
    And a caller sends a request
    Then it gets 503, and 0 requests arrived
    And its error has "ran" set to False
    And the other gateway forwarded 1 requests

  # Guards against requests that pass from gateway to gateway.
  Scenario: the other gateway could ask the first one
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    When the other gateway is cut off, too
    And the other gateway knows the first one
    And a caller sends a request
    Then it gets 503, and 0 requests arrived
    And the other gateway forwarded 1 requests
    And the other gateway asked nobody

  # Guards against a gateway that tries again without end, and serves nobody
  # until its lease is over.
  Scenario: the other gateway cannot be reached
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    When the other gateway can no longer be reached
    And a caller sends a request
    Then it gets 503, and 0 requests arrived
    And its error has "ran" set to False
    And it has a Retry-After
    And it is answered within 1000 ms

  Scenario: the instances of the other gateway refuse connections
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    When the instances of the other gateway refuse connections
    And a caller sends a request
    Then it gets 503, and 0 requests arrived
    And its error has "ran" set to False
    And it has a Retry-After
    And it is answered within 1000 ms

  Scenario: all other gateways are known to be cut off
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    When the other gateway is known to be cut off
    And a caller sends a request
    Then it gets 503, and 0 requests arrived
    And its error has "ran" set to False
    And it has a Retry-After
    And the other gateway forwarded 0 requests

  Scenario: requests are sent directly as soon as the instances are reached
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    When the gateway reaches the instances again
    And a second passes
    And a caller sends 5 requests on one connection
    Then all get the complete answer of an instance
    And the other gateway forwarded 0 requests

  # Guards against refusals while requests return to the direct way.
  Scenario: the instances are reached, and no other gateway reaches them
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    When the other gateway is known to be cut off
    And the gateway reaches the instances again
    And a caller sends 5 requests on one connection
    Then all get the complete answer of an instance

  Scenario: requests that must stay in a region are not forwarded elsewhere
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    When its region is hcm, that of the other one is danang
    And its requests must stay in hcm
    And a caller sends a request
    Then it gets 503, and 0 requests arrived
    And the other gateway forwarded 0 requests

  Scenario: other requests are forwarded to another region if need be
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    When its region is hcm, that of the other one is danang
    And a caller sends a request
    Then it gets 200, and 1 requests arrived

  Scenario: a gateway forwards a limited number of requests
    Given a gateway for non_idempotent requests that reaches no instance, and another one whose instances silent
    When 70 callers send a request at once
    Then 64 requests arrive, and the others are refused at once as not run

  # Guards against seconds of refusals after each change of the configuration.
  Scenario: the other gateway gets a new configuration a little later
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    When the other gateway has an older configuration
    And a caller sends a request
    Then it gets 503, and 0 requests arrived
    When the other gateway gets the configuration
    And a caller sends a request
    Then it gets 200, and 1 requests arrived

  # Bodies for other gateways were received without a limit.
  Scenario: the other gateway has no memory for a body
    Given a gateway for idempotent requests that reaches no instance, and another one whose instances answer
    When the other gateway holds all that it may
    And a caller sends a body of 200000 bytes
    Then it gets 503, and 0 requests arrived
    And its error has "ran" set to False
    When it holds nothing any more
    And a caller sends a body of 200000 bytes
    Then it gets 200, and 1 requests arrived
