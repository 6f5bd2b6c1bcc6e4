Feature: The command line in a new user's hands

  Scenario Outline: help names every verb
    When a user types "honeyport <words>"
    Then the command ends with code 0
    And the help names <verbs>

    Examples:
      | words  | verbs                                             |
      | alone  | bundle, fleet, key, standin, control, router, explain, losses, local |
      | --help | bundle, fleet, key, standin, control, router, explain, losses, local |
      | -h     | bundle, fleet, key, standin, control, router, explain, losses, local |

  Scenario Outline: an address that is none
    When a user types "honeyport <words>"
    Then the command ends with code 2
    And the command says "HP-1003" and "'notanaddress' is no address"
    And the command shows no traceback

    Examples:
      | words                                          |
      | fleet status notanaddress                      |
      | fleet evacuate notanaddress thu-duc            |
      | fleet status 127.0.0.1:7001,notanaddress       |
      | bundle status notanaddress                     |
