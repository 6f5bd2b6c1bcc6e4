Feature: What a gateway takes on while it leaves also ends

  Scenario Outline: what is sent 3 s after the signal is not taken on
    Given <grace> s from SIGTERM to SIGKILL
    Then a request that comes 3 s after a signal handled 0.4 s late is refused
    And what runs has <most> s to end, and 1 s is left to exit

    Examples:
      | grace | most |
      | 8     | 7    |
      | 30    | 29   |
      | 2     | 1    |
