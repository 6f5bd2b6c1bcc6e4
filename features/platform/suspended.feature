Feature: A machine that was suspended does not act on what was true before

  # A machine may be suspended for seconds and wake. The steady clock does not
  # count that time, and the event loop read it: a gateway that slept for 6 s
  # woke with as much of its lease as before, and the leader with its lease,
  # though another one led by then. What waited on their sockets was served
  # first: a request with a key that had been taken away ran, and a read of the
  # configuration got the version before the one in force.

  Scenario: a gateway is suspended for longer than its lease
    Given a platform of three instances whose machines may be suspended
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When a gateway that does not lead is suspended
    And an operator takes the key away with version 8 elsewhere
    And 6 seconds pass on the platform
    And a request with the old key waits on its socket, and it wakes
    Then that request was not run
    And every instance is ready within 10 seconds

  Scenario: the leader is suspended, and another one is elected
    Given a platform of three instances whose machines may be suspended
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When the leader is suspended
    And an operator sends version 8 elsewhere
    And 1 seconds pass on the platform
    And a read of the configuration waits on its socket, and it wakes
    Then that read did not get version 7
    And every instance reads back what was sent as version 8

  Scenario: a voter is suspended and wakes
    Given a platform of three instances whose machines may be suspended
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When a gateway that does not lead is suspended
    And 3 seconds pass on the platform
    And it wakes
    And an operator sends version 8 to any instance
    Then every instance reads back what was sent as version 8
    And the same instance leads as before
