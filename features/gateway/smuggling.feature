Feature: An instance gets exactly the request that a caller sent

  Scenario Outline: a request with ambiguous or invalid framing is rejected
    Given a gateway for idempotent requests whose instances answer
    When a caller sends a request with <framing>
    Then no request arrived, and the connection is closed or refused

    Examples:
      | framing                           |
      | two different lengths             |
      | a length and chunks               |
      | a negative length                 |
      | a length that is no number        |
      | chunks whose size is no number    |
      | a body that ends before its length |
      | chunks that end too soon          |

  Scenario: a request inside the body of another
    Given a gateway for idempotent requests whose instances answer
    When a caller sends a body that looks like a request
    Then one request arrived, with that body

  Scenario: a body in chunks
    Given a gateway for idempotent requests whose instances answer
    When a caller sends a body in three chunks
    Then one request arrived, with that body

  Scenario: headers listed in Connection are not forwarded
    Given a gateway for idempotent requests whose instances answer
    When a caller lists a header in Connection
    Then the forwarded request does not have it
