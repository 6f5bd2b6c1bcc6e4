Feature: Backoffs that instances request with Retry-After

  Scenario Outline: the requested backoff
    When an instance answers 503 with Retry-After "<text>"
    Then it requests a backoff of <seconds>

    Examples: whole and fractional seconds, a date
      | text            | seconds    |
      | 3               | 3 s        |
      | 0.25            | 0.25 s     |
      | (a date in 5 s) | about 5 s  |

    Examples: no backoff
      | text             | seconds |
      |                  | nothing |
      | 0                | nothing |
      | -4               | nothing |
      | soon             | nothing |
      | nan              | nothing |
      | (a date 5 s ago) | nothing |

    Examples: limited, so that a broken instance is tried again
      | text   | seconds |
      | 86400  | 60 s    |
      | inf    | 60 s    |
      | 1e300  | 60 s    |

  Scenario Outline: events that neither end nor shorten a backoff
    Given an instance that requested a backoff of 4 s
    When 1 s later <event>
    Then it gets no requests until 4 s after the first one, plus up to 0.8 s

    Examples:
      | event                                           |
      | it answers a request that was sent before       |
      | it requests a backoff of 1 s                    |
      | it rejects a request without Retry-After        |
      | a new list of instances contains it             |

  Scenario: a longer backoff that is requested later counts
    Given an instance that requested a backoff of 2 s
    When 1 s later it requests a backoff of 5 s
    Then it gets no requests until 6 s after the first one, plus up to 1 s

  Scenario: the backoff of a removed instance is dropped
    Given an instance that requested a backoff of 4 s
    When 1 s later a new list of instances does not contain it
    Then it has no backoff

  Scenario: gateways resume at different times
    Given 83 gateways from which an instance requests 3 s of backoff at once
    Then none of them resumes earlier
    And in 90 of 100 draws at most 24 of them resume within 100 ms

  Scenario: after a backoff the concurrency starts at one and doubles
    Given an instance that requested a backoff of 4 s
    When its backoff is over
    Then 1 concurrent request is allowed
    When it answers once
    Then 2 concurrent requests are allowed
    When it answers 4 more times
    Then any number of concurrent requests is allowed
