Feature: The request rate to a cold instance stays within its limit

  Scenario: a frequent prefix is hashed to a cold instance
    Given 83 gateways before 45 instances, 1 of them cold
    When 223 requests a second arrive for 3 seconds, 90 of them with the hot prefix
    Then no cold instance gets more than 19 requests within one second
    And all requests are sent

  Scenario: a whole failure domain is cold after its return
    Given 83 gateways before 45 instances, 15 of them cold
    When 600 requests a second arrive for 3 seconds, 90 of them with the hot prefix
    Then no cold instance gets more than 19 requests within one second
    And all requests are sent

  Scenario: half of the gateways know only the gateways of that half
    Given 83 gateways before 45 instances, 15 of them cold
    And half of the gateways know only the gateways of that half
    When 600 requests a second arrive for 3 seconds, 300 of them with the hot prefix
    Then no cold instance gets more than 19 requests within one second
    And all requests are sent

  Scenario: a new leader lists only a few of the gateways
    Given 83 gateways before 45 instances, 15 of them cold
    And each gateway has just received a list with only 3 others
    When 600 requests a second arrive for 3 seconds, 300 of them with the hot prefix
    Then no cold instance gets more than 19 requests within one second

  Scenario: all instances are cold
    Given 83 gateways before 45 instances, 45 of them cold
    When 223 requests a second arrive for 3 seconds, 30 of them with the hot prefix
    Then no cold instance gets more than 19 requests within one second
    And a share of at least 0.9 of the requests is sent

  Scenario: a few gateways and a few instances, all of them cold
    Given 9 gateways before 6 instances, 6 of them cold
    When 30 requests a second arrive for 3 seconds, 10 of them with the hot prefix
    Then no cold instance gets more than 19 requests within one second
    And a share of at least 0.9 of the requests is sent
