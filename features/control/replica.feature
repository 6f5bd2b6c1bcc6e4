Feature: The control log keeps what it has acknowledged

  Scenario: whatever fails in whatever order, nothing acknowledged is lost
    When 60 random histories of 3 replicas are played, with lost disks
    Then in each all replicas end with everything that was acknowledged

  Scenario: the same for five replicas
    When 25 random histories of 5 replicas are played, with lost disks
    Then in each all replicas end with everything that was acknowledged

  Scenario: the same while the settings come to name others
    When 60 random histories of 3 replicas are played, with lost disks and changed settings
    Then in each all replicas end with everything that was acknowledged

  Scenario: what was acknowledged outlives a loss of all power
    Given disks whose syncs last
    When all of 3 replicas lose power right after a change, 25 times
    Then no acknowledged change is lost

  Scenario: the scenario above notices a sync that is missing
    Given disks whose syncs do nothing
    When all of 3 replicas lose power right after a change, 25 times
    Then some acknowledged change is lost

  Scenario: a leader whose disk is full steps aside
    Given 3 replicas that agree
    When the disk of the leader is full
    Then another one leads within 3 seconds of the next change
    When the disk takes writes again
    Then what was acknowledged is still there

  Scenario: after a restart of all, one of them without its disk
    Given 3 replicas that agree
    When all of them are started again, one with an empty disk
    Then one leads within 280 ms

  Scenario Outline: candidates do not unseat each other after a restart of all
    When all of <count> replicas start anew at once, 100 times
    Then one leads for good within 400 ms at least <least> times

    Examples:
      | count | least |
      | 3     | 88    |
      | 5     | 80    |

  Scenario: a voter that is cut off does not hold up an election
    Given 3 replicas that agree
    When the leader is cut off
    Then one of the others leads within 850 ms

  Scenario: a replica with an empty disk gives no vote to a stale candidate
    Given 3 replicas of which one has an old log
    When the one with the newest log is cut off and another loses its disk
    Then nobody is elected until the newest one is back
    And what was acknowledged is still there

  # A replica that holds no entry yet took the instances that its settings name
  # for the members of its group. When all died right after the founding and
  # the settings then named others, none found itself among them, so nobody
  # could vote: r0, r1 and r2 stayed followers in term 0, none admitted.
  Scenario: a group that was just founded does not depend on its settings
    Given 3 replicas that have just founded their group and elected nobody
    When all of them are started again with settings that name others
    Then all of them agree on a leader
