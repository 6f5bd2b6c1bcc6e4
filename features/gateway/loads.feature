Feature: Reported loads, prompt sizes and pauses are read and logged

  Scenario Outline: well-formed and unreadable loads
    When an instance reports the load "<text>"
    Then <running> requests are running and <waiting> are waiting there

    Examples:
      | text                | running | waiting |
      | 3,1,8               | 3       | 1       |
      | 3, 1, 8, 250        | 3       | 1       |
      | 3,1,8,              | 3       | 1       |
      | 3,1,8,-9999999999.5 | 3       | 1       |

  Scenario Outline: unreadable loads
    When an instance reports the load "<text>"
    Then its load is not known

    Examples:
      | text           |
      |                |
      | 3,1            |
      | 3,1,8,100,7    |
      | 3,x,8,100      |
      | 3,-1,8,100     |
      | 9999999999,1,8 |
      | 3,²,8          |

  Scenario Outline: sizes of prompt parts that are unreadable or absurd
    When a request has the prompt parts "<text>"
    Then the sizes of its parts are <tokens>

    Examples:
      | text                    | tokens |
      | a1:800,b2:410           | 800,410 |
      | a1:²,b2:-3,c3:1e9       | 0,0,0   |
      | a1,b2:,c3:99999999999   | 0,0,0   |

  Scenario: tokens of a prompt that an instance is not known to cache
    Given an instance that answered a prompt with parts of 500, 9000, 70 tokens
    Then of one with parts of 500, 9000, 80 tokens 80 may not be cached there
    And of one with parts of 500, 8000, 80 tokens 8080 may not be cached there
    And of one with parts of 600, 9000, 80 tokens 9680 may not be cached there

  Scenario: the longest pause of a stream is logged
    When chunks of a stream arrive
      | at_s  | chunk               | write_s |
      | 10.05 | id: 1\|data: a\|\|  | 0.0     |
      | 10.09 | :comment\|\|        | 0.01    |
      | 10.15 | id: 2\|data: b\|    | 0.0     |
      | 10.25 | \|id: 3\|data: c\|\| | 0.0    |
      | 10.30 | id: 4\|data: d\|\|  | 0.0     |
    Then its line says
      | field       | value |
      | events      | 4     |
      | pause_ms    | 200   |
      | pause_after | 1     |
      | pause_at_ms | 250   |
      | write_ms    | 10    |

  Scenario: a stream without events has no pauses
    When chunks of a stream arrive
      | at_s  | chunk        | write_s |
      | 10.09 | :comment\|\| | 0.01    |
    Then its line says nothing of events
