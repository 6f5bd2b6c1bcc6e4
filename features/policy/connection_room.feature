Feature: Connections that stand still make room for new ones

  Scenario Outline: which connections are closed
    Given connections that are <connections>, each for that many seconds
    Then to make room those numbered <closed> are closed, in this order

    Examples:
      | connections                                | closed  |
      | idle 5                                     | 1       |
      | idle 5, idle 9, idle 2                     | 2, 1, 3 |
      | idle 0.5                                   | -       |
      | receiving 8, idle 2                        | 2, 1    |
      | receiving 0.5, idle 0.9                    | -       |
      | serving 60                                 | -       |
      | serving 60, receiving 8, receiving 9       | 3, 2    |
      | serving 60, idle 0.5, receiving 9, idle 20 | 4, 3    |

  Scenario: a few connections are closed at once
    Given 40 idle connections
    Then to make room 8 are closed

  Scenario Outline: how many connections a machine has room for
    Then <descriptors> file descriptors and <memory> MB allow <callers> connections of callers and <page> at another address

    Examples:
      | descriptors | memory | callers | page |
      | 4100        | 300    | 1525    | 256  |
      | 4100        | 160    | 813     | 256  |
      | 300         | 160    | 150     | 18   |
      | 20          | 160    | 10      | 8    |
