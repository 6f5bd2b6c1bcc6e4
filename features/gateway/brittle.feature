Feature: A gateway sends brittle instances its part of their slots

  Scenario: more requests arrive than the part of the slots
    Given a gateway beside another one, before an instance with 8 slots that answers brittle 0, answer; silent
    When a caller sends a request
    And 7 callers send a request at once
    Then 5 requests have arrived, and 3 are refused as not run

  Scenario: another gateway reports that the service is brittle
    Given a gateway beside another one, before an instance with 8 slots that answers silent
    When another gateway reports that the service is brittle
    And 7 callers send a request at once
    Then 4 requests have arrived, and 3 are refused as not run

  Scenario: the service is not brittle
    Given a gateway beside another one, before an instance with 8 slots that answers answer; silent
    When a caller sends a request
    And 7 callers send a request at once
    Then 8 requests have arrived, and 0 are refused as not run

  Scenario: an answer of another instance at the address is no rejection
    Given a gateway beside another one, before an instance with 8 slots that answers brittle 0, misdirected and not run; silent
    When a caller sends a request
    And 7 callers send a request at once
    Then 5 requests have arrived, and 3 are refused as not run

  Scenario: a gateway reports that a service is brittle until an answer does not say so
    Given a gateway beside another one, before an instance with 8 slots that answers brittle 3, answer; answer
    When a caller sends a request
    Then its reports name a tolerance of 3 rejections
    When a second passes
    And a caller sends a request
    Then its reports name a tolerance of no rejections

  Scenario Outline: any answer may announce that the service is brittle
    Given a gateway beside another one, before an instance with 8 slots that answers <answer>
    When a caller sends a request
    Then its reports name a tolerance of <count> rejections

    Examples:
      | answer                 | count |
      | brittle 3, stream      | 3     |
      | brittle 3, fail        | 3     |
      | brittle 3, not run     | 3     |
      | brittle 3, misdirected | 3     |
      | brittle many, answer   | 0     |

  # Guards against a gateway that cannot report its loads any more, since a
  # number does not fit into the report.
  Scenario Outline: an answer with an unreadable header
    Given a gateway beside another one, before an instance with 8 slots that answers <answer>
    When a caller sends a request
    Then it gets 200, and 1 requests arrived
    And its reports name a tolerance of 0 rejections

    Examples:
      | answer                                     |
      | brittle 99999999999, answer                |
      | brittle 999999999999999999999999, answer   |
      | brittle -1, answer                         |
      | brittle ², answer                          |
