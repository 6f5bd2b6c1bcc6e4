Feature: All gateways together stay within the retry budget

  Scenario Outline: a service fails all requests
    Given <gateways> gateways and a retry budget of 0.2 per request plus 58
    When each of them gets 30 requests, and all attempts fail
    Then the retries are within the budget

    Examples:
      | gateways |
      | 1        |
      | 9        |
      | 79       |

  Scenario: all gateways restart between requests
    Given 9 gateways and a retry budget of 0.2 per request plus 58
    When each of them gets 30 requests, and all attempts fail
    And they restart without knowing the number of gateways
    And each of them gets 30 requests, and all attempts fail
    Then the retries are within the budget

  Scenario: a few failures are always retried
    Given 9 gateways and a retry budget of 0.2 per request plus 58
    When each of them gets 30 requests, and one of them fails
    Then 9 requests are retried

  Scenario: all requests of a crashed instance are retried
    Given 10 gateways and a retry budget of 0.2 per request plus 60
    When 86 requests a second arrive for 12 seconds
    And 52 streams break at once, 10 at one gateway
    Then 52 requests are retried

  Scenario: random failures and restarts
    Given 10 gateways and a retry budget of 0.2 per request plus 60
    When 20 random loads with failures and restarts are simulated
    Then no budget window has more retries than allowed
