Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: changes are accepted while each replica is killed in turn
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When each control replica is killed, a change made and it is restarted
    Then version 4 is in force on every router
    And no router ever went back to a lower version

  Scenario: the leader is killed while a change is submitted
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When a change is submitted and the leader is killed at once
    Then the operator gets a receipt for version 2
    And version 2 is in force on every router

  Scenario: a leader that was frozen past its lease steps down
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When the leader freezes
    And a change is made
    And the frozen leader resumes
    Then the frozen leader has stepped down
    And version 2 is in force on every router
    And no router ever went back to a lower version

  Scenario: a leader that is isolated from the other replicas commits nothing
    Given a fleet of 3 control replicas behind relays and 2 routers
    When the leader is isolated from the other replicas
    And a change is submitted to the isolated leader
    Then the change gets no receipt
    When a change is made through the majority
    And the leader is no longer isolated
    Then version 2 is in force on every router
    And all replicas hold the same version 2
    And no router ever went back to a lower version

  Scenario: a second replica fails right after the first was repaired
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When a follower loses its disk and is started again
    And the other follower is killed as soon as the first votes again
    And a change is made
    Then version 2 is in force on every router

  Scenario: a replica that lost its disk does not vote before it has caught up
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When a follower loses its disk and is started again
    Then it logs that it is not admitted
    And it votes again once it has caught up

  Scenario: a replica with a damaged record does not start
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When a record in the log of a follower is damaged and it is started again
    Then it exits with the error "HP-2005"
    When a change is made
    Then version 2 is in force on every router

  Scenario: two operators submit different bundles with the same version
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When two operators submit different bundles as version 2 at once
    Then one of them gets a receipt and the other a conflict "HP-2002"
    When both submit the same again
    Then they get the same answers as before
    And version 2 is in force on every router

  Scenario: a router restarts during a rollout
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When "router-2" is killed, a change is made and it is restarted
    Then version 2 is in force on every router

  Scenario: all replicas restart after many changes
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When 60 changes are made
    And all control replicas are killed and started again
    Then version 61 is in force on every router
    And no router ever went back to a lower version

  Scenario: a change signed with an unknown key is refused
    Given a fleet of 1 control replicas, 1 routers and 1 services
    When a change signed with an unknown key is submitted
    Then control refuses it with "HP-2001"
    And version 1 is in force on every router
