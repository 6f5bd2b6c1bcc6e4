Feature: A caller gets its own whole answer, or a true failure

  Scenario Outline: what a caller gets
    Given a gateway for <kind> requests whose instances <steps>
    When a caller sends a request
    Then it gets <status>, and <count> requests arrived

    Examples: what may run once is sent again only where it did not run
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

    Examples: what is idempotent is sent again, as often as the route says
      | kind       | steps                | status | count |
      | idempotent | close; answer        | 200    | 2     |
      | idempotent | fail; answer         | 200    | 2     |
      | idempotent | unsigned; answer     | 200    | 2     |
      | idempotent | garbage; answer      | 200    | 2     |
      | idempotent | fail; fail; answer   | 500    | 2     |
      | idempotent | close; close; answer | 502    | 2     |
      | idempotent | close; not run       | 502    | 3     |
      | idempotent | silent; answer       | 200    | 2     |

  # After a failure domain was back, its instances had other names at the same
  # addresses: 234 offers were turned away in three seconds, and 175 requests
  # refused, for the allowance of offers was spent.
  Scenario: an instance whose address another one has is left alone
    Given a gateway for idempotent requests whose instances misdirected; answer
    When a caller sends 30 requests on one connection
    Then the instance that turned one away got no other

  Scenario: a failure is passed on where nothing may be offered again
    Given a gateway without an allowance for idempotent requests whose instances fail; answer
    When a caller sends a request
    Then it gets 500, and 1 requests arrived
    And the answer is the whole answer of an instance

  Scenario Outline: only a whole answer is passed on as one
    Given a gateway for non_idempotent requests whose instances <steps>
    When a caller sends a request
    Then the answer is the whole answer of an instance

    Examples:
      | steps                |
      | answer               |
      | foreign, then answer |
      | unframed             |
      | not run; answer      |

  Scenario Outline: a failure of ours does not look like an instance's
    Given a gateway for non_idempotent requests whose instances <steps>
    When a caller sends a request
    Then nothing in it says that an instance gave it

    Examples:
      | steps    |
      | cut      |
      | unsigned |
      | busy     |
      | not run  |

  Scenario: after a send that may have run, nobody says "not run"
    Given a gateway for idempotent requests whose instances close; not run
    When a caller sends a request
    Then it says that the request ran: None

  Scenario: a refusal says when to come back
    Given a gateway for non_idempotent requests whose instances not run
    When a caller sends a request
    Then it says that the request ran: False
    And it is told when to come back

  Scenario: bytes that nobody asked for reach nobody
    Given a gateway for non_idempotent requests whose instances answer, then foreign
    When a caller sends 5 requests on one connection
    Then all get the whole answer of an instance

  Scenario: an instance learns who asks, and never the key
    Given a gateway for idempotent requests whose instances fail; answer
    When a caller sends a request
    Then each arrival has the account and the instance, and no key
