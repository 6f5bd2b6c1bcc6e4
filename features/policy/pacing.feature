Feature: Large messages use a limited share of the leader's link

  Scenario: hundreds of large messages on a link of 100 Mbit/s
    Given a link of 100 Mbit/s
    When 300 messages of 51000 bytes wait to be sent
    Then at most 7 MB of them are sent within any second
    And all are sent within 2.6 seconds

  Scenario: messages that are larger than the token bucket
    Given a link of 1 Mbit/s
    When 3 messages of 51000 bytes wait to be sent
    Then all are sent within 2.5 seconds

  Scenario: messages on a fast link are not delayed
    Given a link of 1000 Mbit/s
    When 100 messages of 51000 bytes wait to be sent
    Then all are sent within 0.1 seconds
