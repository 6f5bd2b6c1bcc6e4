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
