Feature: The callers' port is open before the program is imported

  Scenario: a request sent before the gateway runs is answered by it
    Given a gateway that has not started
    When its socket is opened early, and a caller sends a request
    And the gateway starts on that socket
    Then it gets 200, and 1 requests arrived

  Scenario Outline: a socket that cannot be opened early is skipped
    Given a settings file that <fault>
    When its socket is opened early
    Then no socket is open

    Examples:
      | fault                    |
      | is missing               |
      | has no callers' address  |
      | has a foreign address    |

  # Guards against a SIGHUP that ends a process before its handler is installed.
  Scenario: SIGHUP during the start does not end a process
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And instance 2 restarts and gets SIGHUP with other seeds as its port opens
    Then instance 2 still runs
    And every instance is ready within 10 seconds
    And instance 2 has loaded the settings with the other seeds

  Scenario Outline: SIGHUP before the imports does not end a role of the command line
    When the role <role> has not run its imports
    Then SIGHUP does not end it

    Examples:
      | role    |
      | router  |
      | control |
