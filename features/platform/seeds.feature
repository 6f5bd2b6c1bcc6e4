Feature: Control is found whatever instances the settings name

  # A gateway asked for the leader at the addresses of its settings alone, and
  # took each of them for a control replica. The platform may name any three
  # instances there, also such as have no disk, and it did, in the settings of
  # all instances at once. From then on whoever lost its stream found control
  # no more: those that were started again had no configuration and served
  # nothing, and the others refused everything when their leases had run out.
  #
  #     4.22 edge-sala-cartago-3 reloaded changed ["seeds", "founding"]
  #         control ["10.1.0.39:7620", "10.2.0.8:7620", "10.3.0.17:7620"]
  #    10.71 edge-sala-cartago-1 session_failed address "10.1.0.39:7620"
  #         reason "unavailable"
  #
  # The three are instances without a disk, and nothing listens there. Six
  # instances that were started again refused 575 requests, all of them with
  # HP-3005, "no configuration yet".

  Background:
    Given a platform of three instances with disks and three without
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When the settings name the three without disks as seeds

  Scenario: the leader dies after other seeds were named
    When the leading instance is killed
    And a lease goes by
    Then every living instance is ready within 5 seconds

  Scenario: all die after other seeds were named
    When all processes are killed and started again
    Then every instance is ready within 10 seconds
    And every instance with a disk reads back what was sent as version 7

  Scenario: an instance joins that knows only instances without disks
    When an instance 7 without a disk joins
    Then every living instance is ready within 10 seconds

  Scenario: all die, and the settings name only instances that are gone
    When the settings name instances that are gone as seeds
    And all processes are killed and started again
    Then every instance is ready within 10 seconds
