Feature: What a leader sends and keeps with 300 gateways before 3,000 instances

  # A process may have 200 MB, and so do all streams of a leader together. Its
  # link takes 12.5 MB a second, so that all of them stand again in two. Callers
  # keep a list of routers for a second at least: five a second are enough.
  Scenario: all gateways come back at once
    Given a leader with a list of 3000 instances
    When 300 gateways attach within 20 ticks
    Then each stream is sent at most 80 kB
    And no stream is sent a list of routers more than 8 times

  Scenario: one instance leaves
    Given a leader with a list of 3000 instances
    And 300 gateways that were told everything
    When one instance is listed as leaving
    Then each stream is sent at most 300 bytes
    And each gateway knows the list of the leader

  # Loads named instances by the indexes of a newer list than the one that the
  # gateways had: their streams ended with an error, 12 in a second.
  Scenario: the list changes while the streams take what there is
    Given a leader with a list of 3000 instances
    And 30 gateways that were told everything
    When they report other loads, and instances leave the list between two ticks
    Then each gateway knows the list of the leader
    And each gateway knows what runs on every instance

  Scenario: configurations are committed while the streams take what there is
    Given a leader with a list of 3000 instances
    And 30 gateways that were told everything
    When 5 configurations are committed, each between two ticks
    Then each gateway has the latest configuration, and none started over

  Scenario: a gateway takes off the report of its own that the sums contain
    Given a leader with a list of 3000 instances
    And 3 gateways that were told everything
    When one of them reports, and a tick passes before it takes the answer
    Then the answer names that report as counted

  Scenario: one gateway dies
    Given a leader with a list of 3000 instances
    And 300 gateways that were told everything
    When one of them is gone
    Then each stream is sent at most 300 bytes
    And each gateway knows the others

  Scenario: a reader that lags
    Given a leader with a list of 3000 instances
    And 3 gateways that were told everything
    When one of them takes nothing while the list changes 100 times
    Then at most 1 kB wait for it meanwhile
    And it is sent at most 60 kB once it takes something
    And each gateway knows the list of the leader

  Scenario: another leader has read the same list
    Given a leader with a list of 3000 instances
    And 300 gateways that were told everything
    When another replica leads, and all of them attach to it
    Then each stream is sent at most 20 kB
    And each gateway knows the list of the leader

  Scenario: another leader has read another list
    Given a leader with a list of 3000 instances
    And 300 gateways that were told everything
    When another replica leads that has not seen one instance, and all attach
    Then each stream is sent at most 20 kB
    And each gateway knows the list of the leader

  Scenario: all instances run more or less than before
    Given a leader with a list of 3000 instances
    And 300 gateways that were told everything
    When each of them reports other loads
    Then each stream is sent at most 12 kB
    And each gateway knows what runs on every instance
