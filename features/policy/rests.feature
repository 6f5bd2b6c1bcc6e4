Feature: How long an instance that asked for rest is left alone

  Scenario Outline: what an instance asks for
    When an instance answers 503 with Retry-After "<text>"
    Then it asks for <seconds>

    Examples: whole and broken seconds, a date
      | text            | seconds    |
      | 3               | 3 s        |
      | 0.25            | 0.25 s     |
      | (a date in 5 s) | about 5 s  |

    Examples: what asks for nothing
      | text             | seconds |
      |                  | nothing |
      | 0                | nothing |
      | -4               | nothing |
      | soon             | nothing |
      | nan              | nothing |
      | (a date 5 s ago) | nothing |

    Examples: what is bounded, so that a broken instance is tried again
      | text   | seconds |
      | 86400  | 60 s    |
      | inf    | 60 s    |
      | 1e300  | 60 s    |

  Scenario Outline: what neither ends nor shortens a rest
    Given an instance that asked for 4 s of rest
    When 1 s later <what>
    Then it is left alone until 4 s after it asked, and 0.8 s more at most

    Examples:
      | what                                            |
      | it answers a request that was sent before       |
      | it asks for 1 s of rest                         |
      | it turns a request away and asks for nothing    |
      | a new list of instances names it                |

  Scenario: a longer rest that is asked for later counts
    Given an instance that asked for 2 s of rest
    When 1 s later it asks for 5 s of rest
    Then it is left alone until 6 s after it asked, and 1 s more at most

  Scenario: an instance that is gone is forgotten
    Given an instance that asked for 4 s of rest
    When 1 s later a new list of instances does not name it
    Then nothing is known of it

  Scenario: gateways come back one after another
    Given 83 gateways that one instance asked for 3 s of rest at one moment
    Then none of them comes back before that
    And not more than 24 of them come back within 100 ms

  Scenario: requests come back one at a time, and twice as many with each answer
    Given an instance that asked for 4 s of rest
    When its rest is over
    Then 1 request may run there at once
    When it answers
    Then 2 requests may run there at once
    When it answers 4 times
    Then any number of requests may run there
