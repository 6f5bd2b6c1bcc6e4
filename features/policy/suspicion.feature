Feature: A request under which instances end is found out; others are served

  Scenario Outline: what becomes of a request after some ends
    Given a record of requests
    When <ends> instances end under a request
    Then from now on it is <state>

    Examples:
      | ends | state     |
      | 0    | free      |
      | 1    | free      |
      | 2    | let in    |
      | 3    | barred    |

  Scenario: of a request under two ends one copy runs at a time
    Given a record of requests
    When 2 instances end under a request
    Then one of 3 gateways that ask may run it
    When that gateway gives it back
    Then one of 3 gateways that ask may run it

  Scenario: a gateway that is gone gives nothing back
    Given a record of requests
    When 2 instances end under a request
    Then one of 3 gateways that ask may run it
    When that gateway loses its lease
    Then one of 3 gateways that ask may run it

  Scenario: a barred request is tried three times, and no more
    Given a record of requests
    When 3 instances end under a request
    And it is asked for each second of 3 hours, and ends who runs it
    Then it was tried after 60, 660 and 6660 seconds
    And only an operator may clear it

  Scenario: a good answer clears a request
    Given a record of requests
    When 2 instances end under a request
    And it is served
    And 2 instances end under a request
    Then from now on it is let in

  Scenario: an end that several gateways see is one
    Given a record of requests
    When 2 instances end under a request, each seen by 9 gateways within 0.4 s
    Then from now on it is let in

  Scenario: an instance ends twice under the name that it keeps
    Given a record of requests
    When one instance ends 3 times under a request, 4 s apart
    Then from now on it is barred

  Scenario: a new leader is told again what it knows already
    Given a record of requests
    When 3 instances end under a request
    And a new leader takes over what was written down
    And it is told of the same 3 ends by 9 gateways
    Then from now on it is barred
    And 3 ends are counted

  Scenario: a million requests under one end each
    Given a record of requests
    When 2 instances end under a request
    And 1000000 other requests are each under one end
    Then no more than 4096 requests are remembered
    And from now on it is let in

  Scenario Outline: proper requests while instances end
    Given a fleet of <gateways> gateways and <instances> instances
    When <load> is played with 3 seeds
    Then at most <refused> of its proper requests are refused
    And at least <requests> were sent

    Examples: what ends instances is not a request
      | gateways | instances | load                               | refused | requests |
      | 9        | 6         | crashes of 0.15 every 3 s          | 0       | 6000     |
      | 9        | 6         | crashes of 0.34 every 2 s          | 30      | 6000     |
      | 9        | 6         | a hot key under crashes of 0.15    | 0       | 6000     |
      | 40       | 48        | a hot key under crashes of 0.15    | 0       | 6000     |
      | 40       | 48        | a whole domain that ends every 5 s | 0       | 30000    |

    Examples: a request ends who runs it, and proper ones run beside it
      | gateways | instances | load                               | refused | requests |
      | 9        | 6         | a request that ends its instance   | 5       | 6000     |
      | 40       | 48        | a request that ends its instance   | 0       | 6000     |
      | 9        | 6         | two such requests and a hot key    | 20      | 6000     |

  Scenario Outline: how many instances one request ends
    Given a fleet of <gateways> gateways and <instances> instances
    When <load> is played with 3 seeds
    Then each such request ends at most <ends> instances

    Examples:
      | gateways | instances | load                                     | ends |
      | 9        | 6         | a request that ends its instance         | 3    |
      | 9        | 6         | nine copies of one at once               | 9    |
