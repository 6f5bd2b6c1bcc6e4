Feature: A machine that resumes from suspension does not use outdated state

  # Guards against leases that are measured by a clock that stops while the
  # machine is suspended.

  Scenario: a gateway is suspended for longer than its lease
    Given a platform of three instances whose machines may be suspended
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When a gateway that does not lead is suspended
    And an operator revokes the key with version 8 at another instance
    And 6 seconds pass on the platform
    And a request with the old key waits on its socket, and it resumes
    Then that request was not run
    And every instance is ready within 10 seconds

  Scenario: the leader is suspended, and another one is elected
    Given a platform of three instances whose machines may be suspended
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When the leader is suspended
    And an operator sends version 8 to another instance
    And 1 seconds pass on the platform
    And a read of the configuration waits on its socket, and it resumes
    Then that read did not return version 7
    And every instance returns the configuration sent as version 8

  Scenario: a voter is suspended and resumes
    Given a platform of three instances whose machines may be suspended
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When a gateway that does not lead is suspended
    And 3 seconds pass on the platform
    And it resumes
    And an operator sends version 8 to any instance
    Then every instance returns the configuration sent as version 8
    And the leader is the same as before
