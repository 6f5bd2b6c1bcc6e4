Feature: A gateway that shuts down finishes the requests that it accepted

  Scenario Outline: requests that come 3 s after the signal are refused
    Given <grace> s from SIGTERM to SIGKILL
    Then a request 3 s after a signal that was handled 0.4 s late is refused
    And running requests have <limit> s to end, and 1 s is left to exit

    Examples:
      | grace | limit |
      | 8     | 7     |
      | 30    | 29    |
      | 2     | 1     |
