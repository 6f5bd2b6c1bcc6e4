Feature: Log lines explain a request and never block the process

  Scenario: the log lines of a request are merged from two instances
    Given log lines of two instances about the request "q-7"
    When the request "q-7" is explained with the clock of "edge-2" 5 s ahead
    Then the events are attempt_failed, request_broken, request_served

  Scenario: no log line is about the request
    Given log lines of two instances about the request "q-7"
    When the request "q-8" is explained with the clock of "edge-2" 5 s ahead
    Then it is refused with "no log line is about the request"

  Scenario Outline: a slow request is attributed to its slowest stage
    Given a log line of a request with a time to first byte of <first> ms
    And <waited> ms of waiting and <connect> ms of connecting
    When the logs are summarized with a limit of 300 ms
    Then the slow request is attributed to "<stage>"

    Examples:
      | first | waited | connect | stage                                 |
      | 500   | 450    | 5       | waited for the lease                  |
      | 350   | 0      | 301     | connecting to instances               |
      | 360   | 0      | 4       | instance i-1, copying from i-2        |

  Scenario: a request is slow as it waited for a slot
    Given a log line of a request that waited 300 ms for a slot, of 500 ms in all
    When the logs are summarized with a limit of 300 ms
    Then the slow request is attributed to "waited for a slot"

  Scenario: refusals, forecasts and pauses are summed
    Given log lines of requests that waited 30, 50 ms where 40 ms were forecast
    And log lines of 2 requests refused as "late" and 1 sent as "no_keeper"
    And log lines of streams with pauses of 90, 310, 400 ms where 300 ms are allowed
    When the logs are summarized with a limit of 300 ms
    Then the reasons for no slot are "late" 2 times, "no_keeper" 1 times
    And the forecasts differ by 10 ms, and 2 streams paused for too long

  Scenario: requests that were not served are counted per second
    Given log lines of 3 served and 2 refused requests
    When the logs are summarized with a limit of 300 ms
    Then 3 served and 2 refused requests are counted in one second
    And the only reason for requests not served is "refused HP-3005"

  Scenario: a blocked reader of the log does not block the process
    Given a log output whose reader is blocked
    When 20000 lines are written at once
    Then writing them takes less than 2 seconds
    And the number of dropped lines is counted

  Scenario: the names of the events in the catalogue are unique
    Then no two events have the same name
