Feature: Gateways find control whichever instances the seeds are

  # Guards against gateways that take every seed for a control replica: the
  # settings may list any three instances, also ones without a disk.

  Background:
    Given a platform of three instances with disks and three without
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When the settings list the three instances without disks as seeds

  Scenario: the leader is killed after the seeds changed
    When the leading instance is killed
    And a lease expires
    Then every running instance is ready within 5 seconds

  Scenario: all processes are killed after the seeds changed
    When all processes are killed and started again
    Then every instance is ready within 10 seconds
    And every instance with a disk returns the configuration sent as version 7

  Scenario: an instance joins whose seeds have no disks
    When an instance 7 without a disk joins
    Then every running instance is ready within 10 seconds

  Scenario: all processes are killed, and none of the seeds exists
    When the settings list instances that do not exist as seeds
    And all processes are killed and started again
    Then every instance is ready within 10 seconds
