Feature: An instance in backoff gets no requests

  # Rejections by instances in backoff would use up the retry budget and leave
  # callers refused while other instances are idle.
  Scenario: two of four instances request a backoff
    Given a gateway with 4 instances and a retry budget of 6
    And the instances i-1 and i-2 request a backoff of 4 s
    When 25 requests a second reach the gateway for 3 seconds
    Then each of 2 backoffs of 4 s is logged once
    And each request that reached an instance in backoff is logged
    And no request reaches an instance in backoff
    And all callers were served

  @alone
  Scenario: all instances of a service request a backoff
    Given a gateway with 4 instances and a retry budget of 6
    And all instances request a backoff of 4 s
    When 25 requests a second reach the gateway for 3 seconds
    Then no request reaches an instance in backoff
    And refused callers get the end of the backoff as retry time within 50 ms

  Scenario: an instance announces that it leaves while it is listed as ready
    Given a gateway with 4 instances and a retry budget of 6
    And the instances i-1 and i-2 announce in their answers that they leave
    When 25 requests a second reach the gateway for 5 seconds
    Then no request reaches an instance 3 seconds after it announced that it leaves
    And all callers were served

  Scenario: a Retry-After with status 429 is honored, too
    Given a gateway with 4 instances and a retry budget of 6
    And the instances i-1 and i-2 answer 429 with a Retry-After of 4 s
    When 25 requests a second reach the gateway for 2 seconds
    Then no request reaches an instance in backoff
    And all callers were served

  Scenario: a new list and a new configuration do not end a backoff
    Given a gateway with 4 instances and a retry budget of 6
    And the instances i-1 and i-2 request a backoff of 5 s
    When 25 requests a second reach the gateway for 1 seconds
    And a new list of instances and a new configuration arrive
    And 25 requests a second reach the gateway for 2 seconds
    Then no request reaches an instance in backoff
    And all callers were served

  Scenario: requests wait for a connection to an instance that requests a backoff
    Given a gateway with 1 instances and a retry budget of 6
    And the instances i-1 request a backoff of 4 s
    When 8 requests wait 200 ms for a connection, and one more does not
    Then 1 request has reached an instance

  Scenario Outline: any answer may announce that its instance leaves
    Given a gateway with 4 instances and a retry budget of 6
    And the instances i-1 and i-2 announce that they leave and <answer>
    When 25 requests a second reach the gateway for 2 seconds
    Then no request reaches an instance 1 seconds after it announced that it leaves

    Examples:
      | answer      |
      | answer      |
      | stream      |
      | fail        |
      | not run     |
      | misdirected |

  Scenario: all instances of a service announce that they leave
    Given a gateway with 4 instances and a retry budget of 6
    And all instances announce that they leave and answer
    When 25 requests a second reach the gateway for 3 seconds
    Then no request reaches an instance 2 seconds after it announced that it leaves
    And all callers of the first 900 ms were served

  Scenario: a gateway reports which instances requested a backoff
    Given a gateway with 4 instances and a retry budget of 6
    And the instances i-1 and i-2 request a backoff of 2 s
    When 25 requests a second reach the gateway for 1 seconds
    Then its reports name i-1 and i-2 as in backoff
    When 3 seconds pass at the gateway
    Then its reports name nothing as in backoff
