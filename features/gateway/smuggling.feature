Feature: Only what a caller sent, and all of it, reaches an instance

  Scenario Outline: a request whose length is in doubt
    Given a gateway for idempotent requests whose instances answer
    When a caller sends a request with <doubt>
    Then no request arrived, and the connection is closed or refused

    Examples:
      | doubt                             |
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

  Scenario: headers that name the connection's own
    Given a gateway for idempotent requests whose instances answer
    When a caller hides a header behind its connection
    Then the arrival does not have it
