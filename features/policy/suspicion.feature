Feature: Requests that end instances are restricted, and others are served

  Scenario Outline: the state of a request by the number of ends
    Given an empty record of requests
    When <ends> instances end while they run a request
    Then from now on it is <state>

    Examples:
      | ends | state             |
      | 0    | free              |
      | 1    | free              |
      | 2    | allowed by permit |
      | 3    | barred            |

  Scenario: one gateway at a time may run a request after two ends
    Given an empty record of requests
    When 2 instances end while they run a request
    Then one of 3 gateways that ask may run it
    When that gateway releases the permit
    Then one of 3 gateways that ask may run it

  Scenario: the permit of a lost gateway is released
    Given an empty record of requests
    When 2 instances end while they run a request
    Then one of 3 gateways that ask may run it
    When that gateway loses its lease
    Then one of 3 gateways that ask may run it

  Scenario: a barred request is tried again at most three times
    Given an empty record of requests
    When 3 instances end while they run a request
    And a permit is requested each second of 3 hours, and each run ends
    Then it was tried after 60, 660 and 6660 seconds
    And only an operator may clear it

  Scenario: a complete answer clears a request
    Given an empty record of requests
    When 2 instances end while they run a request
    And it is answered
    And 2 instances end while they run a request
    Then from now on it is allowed by permit

  Scenario: an end that several gateways report is counted once
    Given an empty record of requests
    When 2 instances end while they run a request, seen by 9 gateways in 0.4 s
    Then from now on it is allowed by permit

  Scenario: repeated ends of an instance that keeps its name are counted
    Given an empty record of requests
    When one instance ends 3 times while it runs a request, 4 s apart
    Then from now on it is barred

  Scenario: a new leader does not count ends that are stored already
    Given an empty record of requests
    When 3 instances end while they run a request
    And a new leader loads the stored record
    And the same 3 ends are reported to it by 9 gateways
    Then from now on it is barred
    And 3 ends are counted

  Scenario: a million requests with one end each
    Given an empty record of requests
    When 2 instances end while they run a request
    And 1000000 other requests have one end each
    Then at most 4096 requests are recorded
    And from now on it is allowed by permit

  Scenario Outline: harmless requests while instances end
    Given a fleet of <gateways> gateways and <instances> instances
    When <load> is simulated with 3 seeds
    Then at most <refused> of its harmless requests are refused
    And at least <requests> were sent

    Examples: no request causes the ends
      | gateways | instances | load                                | refused | requests |
      | 9        | 6         | crashes of 0.15 every 3 s           | 0       | 6000     |
      | 9        | 6         | crashes of 0.34 every 2 s           | 30      | 6000     |
      | 9        | 6         | a frequent request, crashes of 0.15 | 0       | 6000     |
      | 40       | 48        | a frequent request, crashes of 0.15 | 0       | 6000     |
      | 40       | 48        | a domain that ends every 5 s        | 0       | 30000    |

    Examples: a harmful request runs beside harmless ones
      | gateways | instances | load                               | refused | requests |
      | 9        | 6         | one harmful request                | 5       | 6000     |
      | 40       | 48        | one harmful request                | 0       | 6000     |
      | 9        | 6         | two harmful and a frequent request | 20      | 6000     |

  Scenario Outline: the number of instances that one request ends
    Given a fleet of <gateways> gateways and <instances> instances
    When <load> is simulated with 3 seeds
    Then each harmful request ends at most <ends> instances

    Examples:
      | gateways | instances | load                               | ends |
      | 9        | 6         | one harmful request                | 3    |
      | 9        | 6         | nine simultaneous harmful requests | 9    |

  Scenario: requests are not blamed for ends that their parts explain
    Given an empty record of requests
    When 2 instances end while they run a request
    And requests with certain parts explain these ends
    Then from now on it is free
    When the same 2 ends are reported by other gateways
    Then from now on it is free
    When 2 instances end while they run a request
    Then from now on it is allowed by permit

  Scenario: a new leader knows which ends are explained
    Given an empty record of requests
    When 3 instances end while they run a request
    And requests with certain parts explain these ends
    And a new leader loads all stored records
    And the same 3 ends are reported by other gateways
    Then from now on it is free
