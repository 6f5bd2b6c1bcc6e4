Feature: A request that crashes instances is not sent to further ones

  # Guards against gateways that send a request of which each attempt has a new
  # id to one instance after another, although it crashes all of them.

  Scenario: a request that crashed three instances is sent again
    Given a platform of three instances with disks and one without
    And 8 instances of its service, and a request that crashes them
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When the request is sent until 3 instances have crashed
    And 3.4 seconds pass on the platform
    And it is sent 15 times to every gateway, with other requests in between
    Then it reached at most 3 instances in that time
    And it was refused as not run each time
    And all other requests were served

  Scenario: crashed instances restart under the same names
    Given a platform of three instances with disks and one without
    And 8 instances that keep their names, and a request that crashes them
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When the request is sent until 3 instances have crashed
    And 3.4 seconds pass on the platform
    And it is sent 8 times to every gateway, with other requests in between
    Then it reached at most 3 instances in that time
    And all other requests were served

  Scenario: crashed instances keep their connections open
    Given a platform of three instances with disks and one without
    And 8 instances that keep connections open, and a request that crashes them
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When the request is sent until 3 instances have crashed
    And 3.4 seconds pass on the platform
    And it is sent 8 times to every gateway, with other requests in between
    Then it reached at most 3 instances in that time
    And all other requests were served

  Scenario: the request arrives at all gateways at once
    Given a platform of three instances with disks and one without
    And 8 instances of its service, and a request that crashes them
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When the request is sent to every gateway at once
    And 3.4 seconds pass on the platform
    And it is sent 8 times to every gateway, with other requests in between
    Then it reached at most 3 instances in that time
    And all other requests were served
    And no more than 7 instances have crashed

  Scenario: a new leader keeps refusing the request
    Given a platform of three instances with disks and one without
    And 8 instances of its service, and a request that crashes them
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When the request is sent until 3 instances have crashed
    And 0.5 seconds pass on the platform
    And the leading instance is killed and started again
    Then every instance is ready within 10 seconds
    When it is sent 8 times to every gateway, with other requests in between
    Then it reached at most 0 instances in that time
    And it was refused as not run each time

  Scenario: the request stays refused after a loss of all processes and one disk
    Given a platform of three instances with disks and one without
    And 8 instances of its service, and a request that crashes them
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When the request is sent until 3 instances have crashed
    And 0.5 seconds pass on the platform
    And all processes are killed, instance 1 loses its disk, and all restart
    Then every instance is ready within 10 seconds
    When it is sent 8 times to every gateway, with other requests in between
    Then it reached at most 0 instances in that time
    And it was refused as not run each time

  Scenario: an operator lists refused requests and clears one
    Given a platform of three instances with disks and one without
    And 8 instances of its service, and a request that crashes them
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When the request is sent until 3 instances have crashed
    And 0.5 seconds pass on the platform
    Then an operator lists 1 refused request
    When the operator clears it
    Then an operator lists 0 refused request
    When 0.3 seconds pass on the platform
    And the instances are fixed, and the request is sent to every gateway at once
    Then it was served each time
