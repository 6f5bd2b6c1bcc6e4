Feature: Requests run only as the configuration in force allows

  Scenario: without a lease no request is sent
    Given a gateway for idempotent requests whose instances answer
    When its lease ends
    And a caller sends a request
    Then it gets 503, and 0 requests arrived
    And it has a Retry-After
    And its answer closes the connection and allows a retry at once

  Scenario: a request that arrives before the first lease waits for it
    Given a gateway that has just started
    When a caller with a deadline of 2000 ms sends a request, and the lease comes after 250 ms
    Then it gets 200, and 1 requests arrived
    And it is answered within 400 ms

  Scenario: a request whose deadline is too short to wait for the first lease is refused at once
    Given a gateway that has just started
    When a caller with a deadline of 300 ms sends a request, and the lease comes after 250 ms
    Then it gets 503, and 0 requests arrived
    And it is answered within 100 ms
    And its Retry-After is 300 to 400 ms

  Scenario: a late first lease does not delay a caller for long
    Given a gateway that has just started
    When a caller with a deadline of 5000 ms sends a request, and the lease comes after 1500 ms
    Then it gets 503, and 0 requests arrived
    And it is answered within 900 ms

  Scenario: a gateway without a list of instances is not ready
    Given a gateway that has just started
    When it has a configuration and a lease, but no list of instances
    Then the gateway is not ready: no list of instances yet
    When the list arrives
    Then the gateway is ready

  Scenario: an API key that no account holds is rejected
    Given a gateway for idempotent requests whose instances answer
    When a caller sends a request with the key "stolen"
    Then it gets 401, and 0 requests arrived

  Scenario: a revoked API key is rejected
    Given a gateway for idempotent requests whose instances answer
    When the key is revoked
    And a caller sends a request
    Then it gets 401, and 0 requests arrived

  Scenario Outline: a path without a route is rejected
    Given a gateway for idempotent requests whose instances answer
    When a caller asks for "<path>" on host "<host>"
    Then it gets <status>, and <count> requests arrived

    Examples:
      | path    | host         | status | count |
      | /r/a/b  | yard.example | 200    | 1     |
      | /other/ | yard.example | 404    | 0     |
      | /r      | yard.example | 404    | 0     |
      | /r/     | other.host   | 404    | 0     |

  Scenario: a leaving instance gets no requests
    Given a gateway for idempotent requests whose instances answer
    When the instances i-1 and i-2 are leaving
    And a caller sends 5 requests on one connection
    Then only i-3 got requests

  Scenario: prompts go to the instance that cached their shared part
    Given 12 instances and prompts with 92 subjects
    Then removing an instance moves only its subjects
    And no instance exceeds its load bound when one subject dominates
