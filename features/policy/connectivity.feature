Feature: A gateway knows whether it or an instance is cut off

  Scenario Outline: failed connections of a gateway
    Given a service with <count> instances
    When connections to <failed> of them fail, one after the other
    Then the gateway <verdict>

    Examples:
      | count | failed | verdict        |
      | 6     | 1      | is not cut off |
      | 6     | 5      | is not cut off |
      | 6     | 6      | is cut off     |
      | 1     | 1      | is cut off     |
      | 300   | 7      | is not cut off |
      | 300   | 8      | is cut off     |

  Scenario: a connection in between shows that the instances failed
    Given a service with 6 instances
    When connections to 5 of them fail, one after the other
    And a connection succeeds
    Then 5 instances are known to have failed
    When connections to 5 of them fail, one after the other
    Then the gateway is not cut off

  Scenario: a gateway that was cut off does not know that instances failed
    Given a service with 6 instances
    When connections to 6 of them fail, one after the other
    And a connection succeeds
    Then 0 instances are known to have failed

  Scenario: an instance that is new in the list is tried first
    Given a service with 6 instances
    When connections to 6 of them fail, one after the other
    And another instance is listed
    Then only the new instance is untested

  Scenario: requests return in a growing share
    Given a service with 6 instances
    When connections to 6 of them fail, one after the other
    And a connection succeeds
    Then 0.5 seconds later half of the requests are sent directly
    And 1 seconds later all requests are sent directly

  Scenario Outline: open connections may work where new ones are refused
    Given a service with 6 instances
    When connections to 6 of them <fail>, one after the other
    Then open connections are used <since>

    Examples:
      | fail        | since                              |
      | are refused | always                             |
      | fail        | if they were in use after the cut  |
