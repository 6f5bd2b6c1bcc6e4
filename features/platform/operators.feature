Feature: An operator may ask any instance, and gets to the replica that leads

  # Configurations sent at 24 s were never acknowledged, and an evacuation
  # that an operator ended at 12 s stayed in force until 24.9 s. Most instances
  # have no replica beside them. Such a one has no address to send an operator
  # to but that of the leader its stream is open to; it raised "another replica
  # leads" without an address, the text for people took the place of the empty
  # address, and operators were sent there, from 72 of 83 instances:
  #
  #     "leader": "Ask the replica named as leader.",
  #     "path": "/api/configuration/replace", "event": "operator_redirected"

  Scenario: instances of both kinds send operators to the leader
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    And each instance takes an operator's calls, or sends it to one that does

  Scenario: what an instance without a replica is asked is done
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to instance 9
    Then it is acknowledged
    And every instance is ready within 10 seconds
    When an operator sends version 9 to instance 9
    Then it is acknowledged
    And instance 9 reads back what was sent as version 9

  Scenario: while a leader is elected
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When the leader is killed
    Then whoever is asked sends operators to a living instance or says when to ask again
    And each instance that is left takes an operator's calls, or sends it to one that does

  Scenario: without a quorum nobody is sent anywhere
    Given a platform of three instances with disks and one without
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When instance 1 is killed
    And instance 2 is killed
    Then soon instances 3 and 9 say when to ask again
