Feature: A gateway bounds the memory that it holds for callers and instances

  Scenario Outline: large bodies beside many small requests
    Given 24 MB, and <large> large bodies a second of 1 MB beside 400 small ones
    When 20 seconds are replayed
    Then at most 24 MB are held
    And at least <small> of the small and <served> of the large ones are served
    And at least <returned> of those that came back are served

    Examples: a large body is held for 1 s, a small one for 0.1 s
      | large | small | served | returned |
      | 5     | 1.0   | 1.0    | 0.0      |
      | 12    | 1.0   | 0.8    | 0.4      |
      | 40    | 1.0   | 0.28   | 0.1      |

  Scenario Outline: who is refused first
    Given 24 MB of which <held> MB are held
    Then a body of <size> KB is <outcome>

    Examples:
      | held | size | outcome  |
      | 0    | 9000 | admitted |
      | 0    | 90000 | admitted |
      | 11   | 500  | admitted |
      | 13   | 500  | refused  |
      | 13   | 60   | admitted |
      | 23   | 60   | admitted |
      | 24   | 60   | refused  |

  Scenario Outline: when a refused caller may come back
    Given 24 MB of which 16 MB are held
    And <rate> MB become free each second
    Then a caller with a body of 1 MB is to come back in <low> to <high> s

    Examples:
      | rate | low  | high |
      | 1    | 4    | 5    |
      | 5    | 3.2  | 3.3  |
      | 500  | 0.05 | 0.06 |
      | 0    | 5    | 5    |

  Scenario Outline: which callers are cut off
    Given 24 MB of which <held> MB are held
    And callers that have read nothing for <stalled> seconds and hold 3 MB each
    Then those that have read nothing for <cut> seconds are cut off

    Examples:
      | held | stalled      | cut     |
      | 10   | 2, 10, 29    | -       |
      | 10   | 2, 10, 31    | 31      |
      | 20   | 2, 4         | -       |
      | 20   | 2, 6, 10     | 10      |
      | 23   | 2, 6, 10, 12 | 12, 10  |
      | 20   | 31, 40, 50   | 50, 40, 31 |
