Feature: All gateways together keep to the allowance for repeated offers

  Scenario Outline: a service fails everything that it is offered
    Given <gateways> gateways and an allowance of 0.2 and 58 more
    When each of them gets 30 requests, and all offers fail
    Then the offers beyond the first are within the allowance

    Examples:
      | gateways |
      | 1        |
      | 9        |
      | 79       |

  Scenario: all gateways start anew in the middle
    Given 9 gateways and an allowance of 0.2 and 58 more
    When each of them gets 30 requests, and all offers fail
    And they start anew and do not know how many they are
    And each of them gets 30 requests, and all offers fail
    Then the offers beyond the first are within the allowance

  Scenario: a few failures are always made good
    Given 9 gateways and an allowance of 0.2 and 58 more
    When each of them gets 30 requests, and one of them fails
    Then 9 requests are offered once more

  Scenario: an instance crashes and all that ran there breaks at once
    Given 10 gateways and an allowance of 0.2 and 60 more
    When 86 requests a second come in for 12 seconds
    And 52 streams break at once, 10 at one gateway
    Then 52 requests are offered once more

  Scenario: whatever fails and starts anew
    Given 10 gateways and an allowance of 0.2 and 60 more
    When random loads with failures and restarts are played 20 times
    Then no window of the operators has more than the allowance
