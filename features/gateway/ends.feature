Feature: The end of an instance is distinguished from a broken connection

  Scenario Outline: only a crash counts as an end
    Given a gateway for non_idempotent requests whose instances <steps>
    When a caller sends a request
    And 0.8 seconds pass at the gateway
    Then <ends> ends of instances are detected, with <requests> requests

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

  Scenario: all running requests are attributed to the end of their instance
    Given a gateway for non_idempotent requests whose instances silent; silent; silent; silent; end
    When callers send 5 different requests at once, and one instance is listed
    And 0.8 seconds pass at the gateway
    Then 1 ends of instances are detected, with 5 requests

  Scenario: a repeated request ends two instances
    Given a gateway for idempotent requests whose instances end; end; answer
    When a caller sends a request
    And 0.8 seconds pass at the gateway
    Then 2 ends of instances are detected, with 2 requests

  Scenario: an instance stops responding and is no longer listed
    Given a gateway for non_idempotent requests whose instances silent
    When a caller sends a request
    And the instances that got requests are no longer listed
    Then 1 ends of instances are detected, with 1 requests

  Scenario: an instance stops responding, leaves, and is no longer listed
    Given a gateway for non_idempotent requests whose instances silent
    When a caller sends a request
    And the instances that got requests are listed as leaving
    And the instances that got requests are no longer listed
    Then 0 ends of instances are detected, with 0 requests

  Scenario: a leaving instance ends
    Given a gateway for non_idempotent requests whose instances silent
    When a caller sends a request, and meanwhile its instance leaves and ends
    And 0.8 seconds pass at the gateway
    Then 0 ends of instances are detected, with 0 requests

  Scenario: a proxy accepts connections for an instance that ended
    Given a gateway for non_idempotent requests whose instances reset
    When a caller sends a request
    And 0.8 seconds pass at the gateway
    Then 0 ends of instances are detected, with 0 requests
    When the instances that got requests are no longer listed
    Then 1 ends of instances are detected, with 1 requests

  # Guards against requests that are refused as dangerous after the gateways that
  # ran them were cut off.
  Scenario: a gateway is cut off from all instances while others reach them
    Given a gateway for non_idempotent requests whose instances silent
    And another gateway that reaches the instances
    When a caller sends a request, and meanwhile all instances refuse connections
    And 3 seconds pass at the gateway
    Then 0 ends of instances are detected, with 0 requests

  Scenario: all instances end, and no gateway reaches them
    Given a gateway for non_idempotent requests whose instances silent
    And another gateway that does not reach the instances
    When a caller sends a request, and meanwhile all instances refuse connections
    And 3 seconds pass at the gateway
    Then 1 ends of instances are detected, with 1 requests

  Scenario: the requests attributed to one end are bounded
    Given an end detector
    When 3000 requests get no answer from an instance
    Then 1000 of them are attributed to its end

  Scenario: the prompt parts attributed to one end are bounded
    Given an end detector
    When 100 requests with 200 prompt parts each get no answer from an instance
    Then 40 of them are attributed to its end

  Scenario: an end is timed by the connection that broke
    Given an end detector
    When a connection to an instance breaks, and its end is seen 0.3 s later
    Then the time of its end is that of the break

  Scenario: a caller disconnects before the instance ends
    Given a gateway for non_idempotent requests whose instances silent
    When a caller disconnects while its request runs
    And the instances that got requests are no longer listed
    Then 0 ends of instances are detected, with 0 requests

  Scenario Outline: attempts with equal account, target and body are the same request
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
