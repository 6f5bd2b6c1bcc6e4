Feature: An operator evacuates a failure domain

  Scenario: from the order to the last request, and back
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And an operator evacuates thu-duc at any instance
    Then it is acknowledged within 1 second
    And no instance sends a request to thu-duc from then on
    And each refuses what it cannot serve at once, and as not run
    When an operator ends the evacuation of thu-duc at any instance
    Then it is acknowledged within 1 second
    And a caller's request to each of them is answered soon

  Scenario: the same order again, to every instance
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And an operator evacuates thu-duc at each instance in turn
    Then all of that is acknowledged
    When an operator ends the evacuation of thu-duc at each instance in turn
    Then all of that is acknowledged
    And a caller's request to each of them is answered soon

  Scenario: what was acknowledged outlives the death of all processes
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And an operator evacuates thu-duc at any instance
    And all processes are killed and started again
    Then every instance is ready within 10 seconds
    And no instance sends a request to thu-duc from then on

  Scenario: the leader dies as soon as it has acknowledged the order
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And an operator evacuates thu-duc at any instance
    And the leader is killed
    Then no instance that is left sends a request to thu-duc from then on

  Scenario: an instance that starts anew knows before it serves
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And an operator evacuates thu-duc at any instance
    And instance 2 loses its disk and starts again
    Then every instance is ready within 10 seconds
    And no instance sends a request to thu-duc from then on

  Scenario Outline: an order that means nothing
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And an operator calls <method> <path>
    Then it is refused with <status>
    And a caller's request to each of them is answered soon

    Examples:
      | method | path                              | status |
      | POST   | /api/evacuations/atlantis/begin   | 404    |
      | POST   | /api/evacuations/atlantis/finish  | 404    |
      | POST   | /api/evacuations/thu-duc/pause    | 404    |
      | GET    | /api/evacuations/thu-duc/begin    | 405    |
