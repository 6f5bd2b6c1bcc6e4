Feature: An instance that ends is told from one whose connection breaks

  Scenario Outline: how an attempt broke
    Given a gateway for non_idempotent requests whose instances <steps>
    When a caller sends a request
    And 0.8 seconds pass at the gateway
    Then <ends> ends of instances are seen, with <requests> requests

    Examples:
      | steps   | ends | requests |
      | end     | 1    | 1        |
      | reset   | 0    | 0        |
      | close   | 0    | 0        |
      | cut     | 0    | 0        |
      | garbage | 0    | 0        |
      | silent  | 0    | 0        |
      | fail    | 0    | 0        |
      | not run | 0    | 0        |
      | answer  | 0    | 0        |

  Scenario: all that ran there is under the end
    Given a gateway for non_idempotent requests whose instances silent; silent; silent; silent; end
    When callers send 5 different requests at once, and one instance is listed
    And 0.8 seconds pass at the gateway
    Then 1 ends of instances are seen, with 5 requests

  Scenario: a request is repeated, and ends two instances
    Given a gateway for idempotent requests whose instances end; end; answer
    When a caller sends a request
    And 0.8 seconds pass at the gateway
    Then 2 ends of instances are seen, with 2 requests

  Scenario: an instance falls silent and is no longer listed
    Given a gateway for non_idempotent requests whose instances silent
    When a caller sends a request
    And the instances that got requests are no longer listed
    Then 1 ends of instances are seen, with 1 requests

  Scenario: an instance falls silent, leaves, and is no longer listed
    Given a gateway for non_idempotent requests whose instances silent
    When a caller sends a request
    And the instances that got requests are listed as leaving
    And the instances that got requests are no longer listed
    Then 0 ends of instances are seen, with 0 requests

  Scenario: an instance ends while it leaves
    Given a gateway for non_idempotent requests whose instances silent
    When a caller sends a request, and meanwhile its instance leaves and ends
    And 0.8 seconds pass at the gateway
    Then 0 ends of instances are seen, with 0 requests

  Scenario: something in front of an instance takes connections for it
    Given a gateway for non_idempotent requests whose instances reset
    When a caller sends a request
    And 0.8 seconds pass at the gateway
    Then 0 ends of instances are seen, with 0 requests
    When the instances that got requests are no longer listed
    Then 1 ends of instances are seen, with 1 requests

  Scenario: a thousand requests get no answer from one instance in time
    Given a witness of ends
    When 3000 requests get no answer from an instance
    Then 1000 of them are under its end

  Scenario: a caller leaves and the instance ends afterwards
    Given a gateway for non_idempotent requests whose instances silent
    When a caller leaves while its request runs
    And the instances that got requests are no longer listed
    Then 0 ends of instances are seen, with 0 requests

  Scenario Outline: which attempts are the same request
    Given a request of the account "a" for "<target>" with the body "<body>"
    Then another of the account "<account>" for "<other>" with "<with>" is <same>

    Examples:
      | target | body | account | other  | with | same    |
      | /r/x   | one  | a       | /r/x   | one  | the same |
      | /r/x?a | one  | a       | /r/x?b | one  | the same |
      | /r/x   | one  | a       | /r/x   | two  | another  |
      | /r/x   | one  | b       | /r/x   | one  | another  |
      | /r/x   | one  | a       | /r/xo  | ne   | another  |
      | /r/x?a | -    | a       | /r/x?a | -    | the same |
      | /r/x?a | -    | a       | /r/x?b | -    | another  |
