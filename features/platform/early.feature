Feature: Callers find an open port before the program is imported

  Scenario: a caller that comes before the gateway runs is served by it
    Given a gateway that is about to start
    When its socket is opened early, and a caller sends a request
    And the gateway starts on that socket
    Then it gets 200, and 1 requests arrived

  Scenario Outline: what cannot be opened early is left to the start itself
    Given a settings file that <fault>
    When its socket is opened early
    Then there is none

    Examples:
      | fault                    |
      | is missing               |
      | has no callers' address  |
      | has an address of others |

  # Two instances were told of new settings while they started. They had no
  # handler for the signal yet, so it ended them, and a supervisor that does
  # not start them again leaves the group without a quorum. Both logs end
  # without "started", and every later try to reach them is turned away.
  Scenario: new settings that are told while a process starts do not end it
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And instance 2 starts again and is told of other seeds as its port opens
    Then instance 2 still runs
    And every instance is ready within 10 seconds
    And instance 2 has read the settings that name the other seeds

  Scenario Outline: the same for the roles of the command line
    When the role <role> stands before its imports
    Then SIGHUP does not end it

    Examples:
      | role    |
      | router  |
      | control |
