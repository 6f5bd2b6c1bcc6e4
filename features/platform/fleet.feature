Feature: Three instances with disks serve callers and operators

  Scenario: a first configuration is applied and callers are served
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    Then it is acknowledged
    And every instance is ready within 10 seconds
    And the address list has 4 addresses
    And a caller's request to each of them is answered
    And every instance returns the configuration sent as version 7

  Scenario: older versions and changed content of a version are ignored
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And an operator sends version 5 with other content to any instance
    And an operator sends version 7 with other content to any instance
    Then it is acknowledged
    And every instance returns the configuration sent as version 7

  Scenario: an invalid configuration is refused and changes nothing
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And an operator sends version 8 without its services to any instance
    Then it is refused with 400
    And every instance returns the configuration sent as version 7

  Scenario: an acknowledged configuration survives the kill of all processes
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And all processes are killed and started again
    Then every instance returns the configuration sent as version 7
    And every instance is ready within 10 seconds

  Scenario: an instance that lost its disk learns, and votes again
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And instance 1 loses its disk and starts again
    And instance 2 is killed
    Then instances 1 and 3 return the configuration sent as version 7

  Scenario: SIGHUP keeps instances ready, SIGTERM ends one with code 0
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And every instance gets SIGHUP
    Then every instance is ready within 10 seconds
    When instance 3 gets SIGTERM
    Then the address list has 3 addresses
    And instance 3 exits with code 0

  Scenario: an instance without control stops serving within the revocation time
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And the processes of instances 1 and 2 are stopped for 4.5 seconds
    Then a request to instance 3 is refused as not run
    When the processes of instances 1 and 2 continue
    Then every instance is ready within 10 seconds

  Scenario: an instance with a disk is replaced by one at another address
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And all 3 replicas vote
    And instance 3 is killed
    And an empty instance 4 joins at another address
    Then instance 4 returns the configuration sent as version 7
    When instance 3 is no longer a member
    And instance 2 is killed
    And an operator sends version 9 to instance 4
    Then it is acknowledged
    And instance 4 returns the configuration sent as version 9

  Scenario: the number of voters follows the tolerated losses
    Given a platform of five instances with disks, of which two may be lost
    When an operator sends version 7 to any instance
    And all 5 replicas vote
    And all processes are killed, and instances 1 and 2 lose their disks
    Then every instance returns the configuration sent as version 7
    And every instance is ready within 10 seconds

  Scenario: the instance list contains invalid entries from the start
    Given a platform of three instances with disks and one without
    And its instance list contains invalid entries
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    And a caller's request to each of them is answered
    When all processes are killed and started again
    Then every instance is ready within 10 seconds
    And a caller's request to each of them is answered
