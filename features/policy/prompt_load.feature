Feature: Long prompts are read where few streams run

  # Short streams paused while long prompts were read on a slow machine.
  Scenario Outline: short streams beside long prompts
    Given <gateways> gateways with counts that are 0.28 seconds old
    When 24 instances get long prompts and short streams, with 3 seeds
    Then at most half as many short streams are late as on shared places
    And no more long prompts are late
    And at most 1 in 100 requests meets an instance beyond the bound on loads
    And the busiest instance has at most 1.8 times the mean load

    Examples:
      | gateways |
      | 10       |
      | 76       |

  Scenario Outline: only shared parts that take long to read make a prompt long
    When a prompt has parts of <parts> tokens and pauses of <gap_s> s are accepted
    Then the prompt is <length>

    Examples:
      | parts       | gap_s | length |
      | 10000, 500  | 0.3   | long   |
      | 8000, 5000  | 0.3   | short  |
      | 10000, 500  | 0.5   | short  |
      | 500, 9000, 1| 0.3   | long   |
      | 9500        | 0.3   | long   |
      | 0, 0        | 0.3   | short  |

  Scenario Outline: the places of long prompts follow their share of the load
    When <long> of <total> requests have long prompts, on 40 instances of 16 slots
    Then <places> places are for long prompts alone

    Examples:
      | long | total | places |
      | 0    | 200   | 0      |
      | 200  | 200   | 0      |
      | 2    | 200   | 1      |
      | 60   | 200   | 18     |
      | 180  | 600   | 12     |
      | 0    | 0     | 0      |

  Scenario: a short wave does not change the places
    Given 40 instances of 16 slots where 60 of 200 requests have long prompts
    When 200 of 400 have for 1 second
    Then at most 3 places change their group

  Scenario: places keep their group when others change it
    Then removing one of 40 places leaves the order of the others
