Feature: The load that instances report in their answers is read

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
