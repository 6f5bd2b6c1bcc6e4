Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: every replica is killed in turn, and changes go on
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When each control replica is killed, started again and a change made
    Then version 4 is in force on every router
    And no router ever went back to a lower version

  Scenario: the leader is killed while a change is submitted
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When a change is submitted and the leader killed at once
    Then the operator gets a receipt for version 2
    And version 2 is in force on every router

  Scenario: the leader is frozen past its lease and wakes up
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When the leader freezes
    And a change is made
    And the frozen leader wakes
    Then the frozen leader leads no more
    And version 2 is in force on every router
    And no router ever went back to a lower version

  Scenario: the leader is cut off and believes that it is in charge
    Given a fleet of 3 control replicas behind relays and 2 routers
    When the leader is cut off from the other replicas
    And a change is submitted to the leader that is cut off
    Then the change gets no receipt there
    When a change is made on the other side
    And the leader is no longer cut off
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
    Then it says that it is not admitted
    And it votes again once it has caught up

  Scenario: a replica with a damaged record does not start
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When a record in the log of a follower is damaged and it is started again
    Then it ends with a typed error "HP-2005"
    When a change is made
    Then version 2 is in force on every router

  Scenario: two operators race with equal versions and resend
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When two operators submit different bundles as version 2 at once
    Then one of them gets a receipt and the other a conflict "HP-2002"
    When both submit the same again
    Then they get the same answers as before
    And version 2 is in force on every router

  Scenario: a router restarts in the middle of a roll
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When "router-2" is killed and a change is made and it starts again
    Then version 2 is in force on every router

  Scenario: all replicas restart after many changes
    Given a fleet of 3 control replicas, 2 routers and 1 services
    When 60 changes are made
    And all control replicas are killed and started again
    Then version 61 is in force on every router
    And no router ever went back to a lower version

  Scenario: a change that is not signed by its signers is refused
    Given a fleet of 1 control replicas, 1 routers and 1 services
    When a change signed by a stranger is submitted
    Then it is refused by control with "HP-2001"
    And version 1 is in force on every router
