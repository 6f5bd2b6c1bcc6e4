Feature: Traffic and buffers of a leader with 300 gateways and 3,000 instances

  # All streams of a leader share a link of 12.5 MB/s and 200 MB of memory.
  Scenario: all gateways reconnect at once
    Given a leader with a list of 3000 instances
    When 300 gateways attach within 20 ticks
    Then each stream is sent at most 80 kB
    And no stream is sent the list of routers more than 8 times

  Scenario: one instance is leaving
    Given a leader with a list of 3000 instances
    And 300 gateways that are up to date
    When one instance is listed as leaving
    Then each stream is sent at most 300 bytes
    And each gateway has the leader's instance list

  # Loads refer to instances by their index: a gateway must have the list that
  # the loads refer to.
  Scenario: the instance list changes between a tick and the reads
    Given a leader with a list of 3000 instances
    And 30 gateways that are up to date
    When the gateways report new loads while instances leave the list between ticks
    Then each gateway has the leader's instance list
    And each gateway has the load of every instance

  Scenario: configurations are committed between a tick and the reads
    Given a leader with a list of 3000 instances
    And 30 gateways that are up to date
    When 5 configurations are committed, each between two ticks
    Then each gateway has the latest configuration and none is disconnected

  Scenario: a gateway can subtract its own report from the load sums
    Given a leader with a list of 3000 instances
    And 3 gateways that are up to date
    When one gateway reports and a tick passes before it reads the answer
    Then the answer marks that report as counted

  Scenario: one gateway disconnects
    Given a leader with a list of 3000 instances
    And 300 gateways that are up to date
    When one of the gateways disconnects
    Then each stream is sent at most 300 bytes
    And each gateway has the list of the remaining gateways

  Scenario: one gateway reads slowly
    Given a leader with a list of 3000 instances
    And 3 gateways that are up to date
    When one gateway reads nothing while the list changes 100 times
    Then at most 1 kB is queued for it
    And it is sent at most 60 kB when it reads again
    And each gateway has the leader's instance list

  Scenario: a new leader has the same instance list
    Given a leader with a list of 3000 instances
    And 300 gateways that are up to date
    When another replica leads and all gateways attach to it
    Then each stream is sent at most 20 kB
    And each gateway has the leader's instance list

  Scenario: a new leader has a different instance list
    Given a leader with a list of 3000 instances
    And 300 gateways that are up to date
    When another replica with one instance fewer leads and all attach to it
    Then each stream is sent at most 20 kB
    And each gateway has the leader's instance list

  Scenario: the loads of all instances change
    Given a leader with a list of 3000 instances
    And 300 gateways that are up to date
    When each gateway reports new loads
    Then each stream is sent at most 12 kB
    And each gateway has the load of every instance
