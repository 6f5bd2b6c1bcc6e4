Feature: Gateways spread requests although their counts are outdated

  Scenario Outline: short requests, which full instances reject
    Given <gateways> gateways that get the counts of each other late
    And 5 instances with a capacity of 6 requests each
    When 100 requests a second arrive that take 0.1 seconds each
    Then at most <limit> in 1000 attempts are rejected
    And at least <naive> are if the least loaded instance is always chosen

    Examples:
      | gateways | limit | naive |
      | 3        | 6     | 10    |
      | 10       | 20    | 90    |
      | 200      | 25    | 140   |

  Scenario: long requests, most of which the counts contain
    Given 200 gateways that get the counts of each other late
    And 20 instances with a capacity of 10 requests each
    When 100 requests a second arrive that take 1.0 seconds each
    Then at most 25 in 1000 attempts are rejected
    And at least 300 are if the least loaded instance is always chosen

  Scenario: current counts select the least loaded instance
    Given counts of 3, 1 and 2 that are 0 seconds old
    Then the instance with 1 gets all requests

  Scenario: very old counts are ignored
    Given counts of 3, 1 and 2 that are 10 seconds old
    Then all instances get equal shares

  Scenario: all counts are zero
    Given counts of 0, 0 and 0 that are 10 seconds old
    Then all instances get equal shares
