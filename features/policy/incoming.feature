Feature: Bodies that stand still make room for others

  Scenario Outline: which bodies are given up
    Given bodies of 4 MB, due in 30 seconds: <bodies>
    Then <given> are given up for <needed> MB

    Examples: MB received, seconds since the start, seconds without progress
      | bodies                           | needed | given |
      | 3.9 20 20                        | 3      | 1     |
      | 3.9 20 20, 3.9 21 21, 3.9 5 5    | 3      | 2     |
      | 3.9 20 20, 3.9 21 21, 3.9 5 5    | 8      | 2, 1  |
      | 3.9 20 20, 3.9 21 21, 3.9 5 5    | 13     | -     |
      | 2 2 0.1                          | 3      | -     |
      | 0 0.5 0.5                        | 3      | -     |
      | 2 2 0.1, 1 9 2                   | 3      | 2     |

  # A byte now and then was progress, and held its room until the deadline.
  Scenario Outline: a body that cannot be whole in time is given up
    Given a body of 4 MB, due in <due> seconds, that takes <rate> KB a second
    When it has been received for <age> seconds
    Then it <outcome> for others

    Examples:
      | due | rate | age | outcome       |
      | 30  | 600  | 2   | is not given up |
      | 30  | 150  | 2   | is not given up |
      | 30  | 100  | 2   | is given up     |
      | 30  | 100  | 0.5 | is not given up |
      | 600 | 1    | 2   | is given up     |
      | 1e9 | 1    | 2   | is given up     |
      | 1e9 | 20   | 2   | is not given up |

  Scenario: bodies are late once their deadline has passed
    Given bodies of 4 MB, due in 30 seconds: 3.9 20 20, 3.9 29 0.1, 3.9 30 0.1
    Then number 3 is late
