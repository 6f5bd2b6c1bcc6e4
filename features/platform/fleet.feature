Feature: Three instances with disks serve callers and operators

  Scenario: from the first configuration to a caller's answer
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    Then it is acknowledged
    And every instance is ready within 10 seconds
    And a caller is told 4 addresses
    And a caller's request to each of them is answered
    And every instance reads back what was sent as version 7

  Scenario: versions go up only, and the first content of one stays
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And an operator sends version 5 with other content to any instance
    And an operator sends version 7 with other content to any instance
    Then it is acknowledged
    And every instance reads back what was sent as version 7

  Scenario: an invalid configuration is refused and changes nothing
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And an operator sends version 8 without its services to any instance
    Then it is refused with 400
    And every instance reads back what was sent as version 7

  Scenario: what was acknowledged outlives the death of all processes
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And all processes are killed and started again
    Then every instance reads back what was sent as version 7
    And every instance is ready within 10 seconds

  Scenario: an instance that lost its disk learns, and votes again
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And instance 1 loses its disk and starts again
    And instance 2 is killed
    Then instances 1 and 3 read back what was sent as version 7

  Scenario: SIGHUP and SIGTERM
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And every instance gets SIGHUP
    Then every instance is ready within 10 seconds
    When instance 3 gets SIGTERM
    Then a caller is told 3 addresses
    And instance 3 ends by itself with code 0

  Scenario: an instance cut off from control stops before a revoked key dies
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And the instances 1 and 2 are frozen for 4.5 seconds
    Then a request to instance 3 is refused as not run
    When the instances 1 and 2 wake
    Then every instance is ready within 10 seconds

  Scenario: an instance with a disk is replaced by an empty one elsewhere
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And all 3 vote
    And instance 3 is killed
    And an empty instance 4 joins at another address
    Then instance 4 reads back what was sent as version 7
    When instance 3 is no member any more
    And instance 2 is killed
    And an operator sends version 9 to instance 4
    Then it is acknowledged
    And instance 4 reads back what was sent as version 9

  Scenario: as many vote as the tolerated losses need
    Given a platform of five instances with disks, of which two may be lost
    When an operator sends version 7 to any instance
    And all 5 vote
    And all processes are killed, and instances 1 and 2 lose their disks
    Then every instance reads back what was sent as version 7
    And every instance is ready within 10 seconds

  Scenario: entries of another writer stand in the instance list from the start
    Given a platform of three instances with disks and one without
    And its instance list holds entries of another writer
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    And a caller's request to each of them is answered
    When all processes are killed and started again
    Then every instance is ready within 10 seconds
    And a caller's request to each of them is answered
