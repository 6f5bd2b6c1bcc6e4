Feature: A part of a prompt that crashes instances is refused

  # Guards against gateways that send requests with one part in common to one
  # instance after another, since no two of them are alike.

  Scenario: requests with one part in common crash instances
    Given a platform of three instances with disks and one without
    And 8 instances of its service that crash under a prompt part
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When 20 requests a second arrive for 12 seconds, some with the part in the middle
    Then at most 3 requests with the part arrive 3 seconds after the fifth crash
    And no more than 5 instances have crashed
    And requests without the part are served as before 6 seconds after it

  Scenario Outline: the part is at another position in the prompts
    Given a platform of three instances with disks and one without
    And 8 instances of its service that crash under a prompt part
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When 20 requests a second arrive for 12 seconds, some with the part <position>
    Then at most 3 requests with the part arrive 3 seconds after the fifth crash
    And no more than 5 instances have crashed
    And requests without the part are served as before 6 seconds after it

    Examples:
      | position       |
      | first          |
      | second to last |

  # Guards against requests that crash an instance after their part is barred,
  # since they wait there.
  Scenario: requests with the part that wait are withdrawn
    Given a platform of three instances with disks and one without
    And 24 instances of its service that crash under a prompt part
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When such requests arrive for 5 seconds, beside others with the part that wait at their instances
    Then some that waited were withdrawn, as ones that may have run

  Scenario: a part in the last position is the request's own
    Given a platform of three instances with disks and one without
    And 8 instances of its service that crash under a prompt part
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When 20 requests a second arrive for 5 seconds, some with the part in the middle
    And 20 requests a second arrive for 3 seconds, some with the part last
    Then all of these requests were served

  Scenario: a new leader keeps refusing requests with the part
    Given a platform of three instances with disks and one without
    And 8 instances of its service that crash under a prompt part
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When 20 requests a second arrive for 5 seconds, some with the part in the middle
    And the leading instance is killed and started again
    Then every instance is ready within 10 seconds
    When 3 requests with the part are sent to every gateway
    Then they reached no instance, and were refused as not run

  Scenario: the part stays refused after a loss of all processes and one disk
    Given a platform of three instances with disks and one without
    And 8 instances of its service that crash under a prompt part
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When 20 requests a second arrive for 5 seconds, some with the part in the middle
    And all processes are killed, instance 1 loses its disk, and all restart
    Then every instance is ready within 10 seconds
    When 3 requests with the part are sent to every gateway
    Then they reached no instance, and were refused as not run

  Scenario: an operator lists a part and clears it
    Given a platform of three instances with disks and one without
    And 8 instances of its service that crash under a prompt part
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When 20 requests a second arrive for 5 seconds, some with the part in the middle
    Then an operator lists the part
    When the operator clears the part
    And 0.5 seconds pass on the platform
    And the instances are fixed, and 3 requests with the part are sent to every gateway
    Then all of these requests were served
