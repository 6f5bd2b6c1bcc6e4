Feature: Requests are refused before their bodies where that is possible

  Scenario Outline: a large body whose request is not allowed is not received
    Given a gateway with 12 MB for idempotent requests whose instances answer
    When a caller sends a head for <framing> with <fault>, and the first 100000 bytes
    Then it gets <status>, and 0 requests arrived
    And nothing is held any more
    And its connection ends after the answer

    Examples:
      | framing       | fault            | status |
      | 2000000 bytes | an unknown key   | 401    |
      | chunks        | an unknown key   | 401    |
      | 2000000 bytes | an unknown route | 404    |
      | 5000000 bytes | nothing wrong    | 413    |

  # The connection was reset before the caller had read why.
  Scenario: a body over the limit that just comes is answered
    Given a gateway with 12 MB for idempotent requests whose instances answer
    When a caller sends a body of 6000000 bytes in chunks
    Then it gets 413, and 0 requests arrived
    And its error has "ran" set to False

  Scenario: a small body whose request is not allowed keeps its connection
    Given a gateway with 12 MB for idempotent requests whose instances answer
    When a caller sends a request with an unknown key and a valid one on one connection
    Then they get 401 and 200

  Scenario Outline: a body that is not whole in time
    Given a gateway with 12 MB for idempotent requests whose instances answer
    And its route has a timeout of <timeout> ms
    When a caller that waits <deadline> ms stops short of a body of <size> bytes
    Then it gets 408, and 0 requests arrived
    And its error has "ran" set to False
    And nothing is held any more

    Examples:
      | timeout | deadline       | size    |
      | 30000   | 300            | 1000    |
      | 30000   | 300            | 2000000 |
      | 700     | 31536000000    | 2000000 |

  Scenario: bodies that stand still make room, and do not run
    Given a gateway with 12 MB for idempotent requests whose instances answer
    When 3 callers stop short of a body of 2000000 bytes
    And a caller sends a body of 2000000 bytes
    Then it gets 200, and 1 requests arrived
    And 1 of the bodies that stood still got 408

  # A head had as long as an idle connection.
  Scenario: a head that takes longer than its limit closes the connection
    Given a gateway with 12 MB for idempotent requests whose instances answer
    And heads may take 300 ms, and connections may be idle for 60000 ms
    When a caller sends a part of a head, and another one nothing
    Then the first connection is closed, and the other one is kept
