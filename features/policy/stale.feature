Feature: Gateways spread requests whose places they know late

  Scenario Outline: short requests, turned away where an instance is full
    Given <gateways> gateways whose counts reach each other late
    And 5 instances with room for 6 requests each
    When 100 requests a second of 0.1 seconds each come
    Then at most <most> in 1000 offers are turned away
    And with the least loaded instance by late counts at least <before> are

    Examples:
      | gateways | most | before |
      | 3        | 6    | 10     |
      | 10       | 20   | 90     |
      | 200      | 25   | 140    |

  Scenario: long requests, of which late counts tell
    Given 200 gateways whose counts reach each other late
    And 20 instances with room for 10 requests each
    When 100 requests a second of 1.0 seconds each come
    Then at most 25 in 1000 offers are turned away
    And with the least loaded instance by late counts at least 300 are

  Scenario: who runs least gets all while counts are fresh
    Given counts of 3, 1 and 2 that are 0 seconds old
    Then the instance with 1 takes all

  Scenario: counts that are long out of date tell nothing
    Given counts of 3, 1 and 2 that are 10 seconds old
    Then all instances take the same

  Scenario: nobody is known to run anything
    Given counts of 0, 0 and 0 that are 10 seconds old
    Then all instances take the same
