Feature: The command line lists its commands and reports wrong arguments

  Scenario Outline: the help lists all commands
    When "honeyport <words>" is run
    Then the command exits with code 0
    And the help lists <verbs>

    Examples:
      | words  | verbs                                             |
      | alone  | bundle, fleet, key, standin, control, router, explain, losses, local |
      | --help | bundle, fleet, key, standin, control, router, explain, losses, local |
      | -h     | bundle, fleet, key, standin, control, router, explain, losses, local |

  Scenario Outline: an invalid address is reported
    When "honeyport <words>" is run
    Then the command exits with code 2
    And the command prints "HP-1003" and "'notanaddress' is not an address"
    And the command prints no traceback

    Examples:
      | words                                          |
      | fleet status notanaddress                      |
      | fleet evacuate notanaddress thu-duc            |
      | fleet status 127.0.0.1:7001,notanaddress       |
      | bundle status notanaddress                     |
