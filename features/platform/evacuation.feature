Feature: An operator evacuates a failure domain

  Scenario: an evacuation takes effect and is ended
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And an operator evacuates thu-duc at any instance
    Then it is acknowledged within 1 second
    And no instance sends a request to thu-duc from then on
    And each refuses requests without delay and as not run
    When an operator ends the evacuation of thu-duc at any instance
    Then it is acknowledged within 1 second
    And a caller's request to each of them is answered soon

  Scenario: the same order is sent to every instance
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And an operator evacuates thu-duc at each instance in turn
    Then all orders are acknowledged
    When an operator ends the evacuation of thu-duc at each instance in turn
    Then all orders are acknowledged
    And a caller's request to each of them is answered soon

  Scenario: an acknowledged evacuation survives the kill of all processes
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And an operator evacuates thu-duc at any instance
    And all processes are killed and started again
    Then every instance is ready within 10 seconds
    And no instance sends a request to thu-duc from then on

  Scenario: the leader is killed after it acknowledged the order
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And an operator evacuates thu-duc at any instance
    And the leader is killed
    Then no remaining instance sends a request to thu-duc from then on

  # Guards against gateways that learn of an acknowledged order only from the
  # next leader.
  Scenario: the leader is killed the moment it acknowledges the order
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And the leader is killed as soon as it acknowledges the evacuation of thu-duc
    Then no remaining instance sends a request to thu-duc from then on

  Scenario: a frozen gateway does not hold up the acknowledgement
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When a gateway without a replica is frozen
    And an operator evacuates thu-duc at instance 1
    Then it is acknowledged within 1 second

  Scenario: an instance that lost its disk applies the evacuation before it serves
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    And an operator evacuates thu-duc at any instance
    And instance 2 loses its disk and starts again
    Then every instance is ready within 10 seconds
    And no instance sends a request to thu-duc from then on

  Scenario Outline: an invalid order
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
