Feature: Large messages leave room on a leader's link

  Scenario: hundreds of lists on a link of 100 Mbit/s
    Given a link of 100 Mbit/s
    When 300 messages of 51000 bytes wait to be sent
    Then no second has more than 7 MB of them
    And all are sent within 2.6 seconds

  Scenario: a message that is larger than what may go out at once
    Given a link of 1 Mbit/s
    When 3 messages of 51000 bytes wait to be sent
    Then all are sent within 2.5 seconds

  Scenario: a fast link holds nothing up
    Given a link of 1000 Mbit/s
    When 100 messages of 51000 bytes wait to be sent
    Then all are sent within 0.1 seconds
