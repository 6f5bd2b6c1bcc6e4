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
