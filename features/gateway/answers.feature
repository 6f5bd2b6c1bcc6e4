Feature: A caller gets its own complete answer or a correct error

  Scenario Outline: what a caller gets
    Given a gateway for <kind> requests whose instances <steps>
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

  # Repeated attempts on a reassigned address would use up the retry budget.
  Scenario: an instance whose address was reassigned gets no more requests
    Given a gateway for idempotent requests whose instances misdirected; answer
    When a caller sends 30 requests on one connection
    Then the instance that rejected a request got no more

  Scenario: a failure is passed on if the retry budget is empty
    Given a gateway without a retry budget for idempotent requests whose instances fail; answer
    When a caller sends a request
    Then it gets 500, and 1 requests arrived
    And the answer is the complete answer of an instance

  Scenario Outline: only a complete answer is passed on
    Given a gateway for non_idempotent requests whose instances <steps>
    When a caller sends a request
    Then the answer is the complete answer of an instance

    Examples:
      | steps                |
      | answer               |
      | foreign, then answer |
      | unframed             |
      | not run; answer      |

  Scenario Outline: an error of the gateway does not look like an answer of an instance
    Given a gateway for non_idempotent requests whose instances <steps>
    When a caller sends a request
    Then it contains nothing of an instance's answer

    Examples:
      | steps    |
      | cut      |
      | unsigned |
      | busy     |
      | not run  |

  # Guards against a reason that the instance did not give.
  Scenario: an answer without a reason
    Given a gateway for non_idempotent requests whose instances answer without a reason
    When a caller sends a request
    Then the answer is the complete answer of an instance
    And its status has no reason

  Scenario: after an attempt that may have run, the error does not say "not run"
    Given a gateway for idempotent requests whose instances close; not run
    When a caller sends a request
    Then its error has "ran" set to None

  Scenario: a refusal has a Retry-After
    Given a gateway for non_idempotent requests whose instances not run
    When a caller sends a request
    Then its error has "ran" set to False
    And it has a Retry-After

  Scenario: unsolicited bytes of an instance reach no caller
    Given a gateway for non_idempotent requests whose instances answer, then foreign
    When a caller sends 5 requests on one connection
    Then all get the complete answer of an instance

  Scenario: an instance gets the client account, but never the API key
    Given a gateway for idempotent requests whose instances fail; answer
    When a caller sends a request
    Then each arrival has the account and the instance, and no key
