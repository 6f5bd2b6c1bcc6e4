Feature: Log lines explain a request, and never hold the process up

  Scenario: one request through the logs of two instances
    Given log lines of two instances about the request "q-7"
    When the request "q-7" is explained, the clock of "edge-2" 5 seconds ahead
    Then its events are attempt_failed, request_broken, request_served

  Scenario: a request that no line names
    Given log lines of two instances about the request "q-7"
    When the request "q-8" is explained, the clock of "edge-2" 5 seconds ahead
    Then it is refused with "no line names the request"

  Scenario Outline: why a request was slow
    Given a log line of a request whose first byte came after <first> ms
    And of that it waited <waited> ms and connected for <connect> ms
    When losses over 300 ms are summed up
    Then the reason for the slow request is "<stage>"

    Examples:
      | first | waited | connect | stage                                 |
      | 500   | 450    | 5       | waited for the lease                  |
      | 350   | 0      | 301     | connecting to instances               |
      | 360   | 0      | 4       | instance i-1, copying from i-2        |

  Scenario: what is lost in a second
    Given log lines of 3 requests that were served, and 2 that were refused
    When losses over 300 ms are summed up
    Then one second has 3 served and 2 refused
    And the reason for the refused ones is "refused HP-3005"

  Scenario: a reader that does not read costs lines, not time
    Given an output whose reader does not read
    When 20000 lines are written within a second
    Then writing them took less than 2 seconds
    And lines were dropped, and their number is known

  Scenario: every event of the catalogue has its own number and name
    Then no two events share a name
