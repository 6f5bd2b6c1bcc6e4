Feature: Any instance serves operator requests or redirects them to the leader

  # Guards against redirects to an invalid address by instances without a
  # replica.

  Scenario: instances with and without a replica redirect operators to the leader
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    And each instance serves operator requests or redirects them to one that does

  Scenario: a configuration sent to an instance without a replica is applied
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to instance 9
    Then it is acknowledged
    And every instance is ready within 10 seconds
    When an operator sends version 9 to instance 9
    Then it is acknowledged
    And instance 9 returns the configuration sent as version 9

  Scenario: operator requests during an election
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When the leader is killed
    Then each remaining instance redirects operators to a running instance or answers with Retry-After
    And each remaining instance serves operator requests or redirects them to one that does

  # Guards against redirects to a leader that gateways have not heard of for
  # longer than an election takes.
  Scenario: operators are not redirected to a leader that has gone silent
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When the leader is frozen
    Then each remaining instance redirects operators to a running instance or answers with Retry-After
    And each remaining instance serves operator requests or redirects them to one that does

  Scenario: without a quorum instances answer with Retry-After
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When instance 1 is killed
    And instance 2 is killed
    Then instances 3 and 9 soon answer with Retry-After

  Scenario: the log lines of an order show its way through all processes
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to instance 9
    Then it is acknowledged
    When an operator sends version 9 to instance 9
    Then the order of version 9 is logged by instance 9 as operator_received, operator_redirected
    And it is logged by the leader as operator_received, replacement_proposed, bundle_accepted, operator_answered

  # An attempt that ends in its body otherwise looks like one that reached no
  # instance.
  Scenario: an order whose body does not arrive completely is logged
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When an operator closes the connection to the leader in the middle of an order
    Then the leader logs operator_incomplete with the bytes that it received

  # Guards against large orders that an instance receives in full, over a slow
  # link, before it redirects them.
  Scenario: an order is redirected before its body
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When an operator sends the beginning of an order to instance 9
    Then it is redirected to the leader
    And the connection serves another request once the order is sent completely

  Scenario: a redirect is logged even if the rest of the order does not arrive
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When an operator sends the beginning of an order to instance 9
    Then it is redirected to the leader
    And instance 9 logs the redirect once the connection is closed

  Scenario: orders with an invalid length are rejected, not redirected
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    And instance 9 answers an order with these headers with 400 alone
      | header                                                |
      | Content-Length: 33554433                              |
      | Content-Length: seven                                 |
      | Content-Length: -1                                    |
      | Transfer-Encoding: gzip                               |

  # Guards against orders that are refused until an operator's pauses between
  # attempts exceed the time that an acknowledgement may take.
  Scenario: an order that arrives during an election is held for the next leader
    When orders are sent to 8 instances 0.5 s before a leader is elected
    Then each of them is acknowledged by its first attempt

  # Guards against orders that are held where no leader can become known.
  Scenario: an instance that is cut off from control does not hold orders
    When orders are sent to instances that are cut off from control for 10 s
    Then each of them is refused at once

  Scenario: orders are acknowledged once the group is stable again
    When 25 random histories of orders and failures are run
    Then no order waits longer than 5 seconds while the group is stable
    And every attempt at a running instance succeeds while the group is stable

  # An operator may choose an instance again that has just failed to answer; the
  # pauses between its attempts grow.
  Scenario: orders are acknowledged in time while a quarter of the instances is silent
    When 1000 orders are sent while 20 of 79 instances are silent
    Then each of them is acknowledged within 5.7 seconds
