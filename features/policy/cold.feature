Feature: A cold instance gets no more in a second than it tolerates

  Scenario: a hot prefix has its place on a cold instance
    Given 83 gateways before 45 instances, of which 1 is cold
    When 223 requests a second come for 3 seconds, 90 of them for its prefix
    Then no cold instance got more than 19 within one second
    And every request was sent somewhere

  Scenario: a failure domain comes back cold
    Given 83 gateways before 45 instances, of which 15 are cold
    When 600 requests a second come for 3 seconds, 90 of them for its prefix
    Then no cold instance got more than 19 within one second
    And every request was sent somewhere

  Scenario: half of the gateways see a fleet without the other half
    Given 83 gateways before 45 instances, of which 15 are cold
    And half of the gateways see only each other
    When 600 requests a second come for 3 seconds, 300 of them for its prefix
    Then no cold instance got more than 19 within one second
    And every request was sent somewhere

  Scenario: a new leader has met a few of the gateways only
    Given 83 gateways before 45 instances, of which 15 are cold
    And each gateway has just come to see 3 others in place of all
    When 600 requests a second come for 3 seconds, 300 of them for its prefix
    Then no cold instance got more than 19 within one second

  Scenario: all instances are cold
    Given 83 gateways before 45 instances, of which 45 are cold
    When 223 requests a second come for 3 seconds, 30 of them for its prefix
    Then no cold instance got more than 19 within one second
    And at least 0.9 of the requests were sent somewhere

  Scenario: a few gateways before a few instances, all of them cold
    Given 9 gateways before 6 instances, of which 6 are cold
    When 30 requests a second come for 3 seconds, 10 of them for its prefix
    Then no cold instance got more than 19 within one second
    And at least 0.9 of the requests were sent somewhere
