Feature: The control log keeps acknowledged changes

  Scenario: three replicas keep acknowledged changes through random failures
    When 60 random histories of 3 replicas are run, with lost disks
    Then every replica ends each history with all acknowledged changes

  Scenario: five replicas keep acknowledged changes through random failures
    When 25 random histories of 5 replicas are run, with lost disks
    Then every replica ends each history with all acknowledged changes

  Scenario: acknowledged changes survive failures while the settings change
    When 60 random histories of 3 replicas are run, with lost disks and changed settings
    Then every replica ends each history with all acknowledged changes

  Scenario: acknowledged changes survive a power loss of all replicas
    Given disks whose syncs are durable
    When all 3 replicas lose power right after a change, 25 times
    Then no acknowledged change is lost

  Scenario: the power loss scenario detects missing syncs
    Given disks whose syncs do nothing
    When all 3 replicas lose power right after a change, 25 times
    Then some acknowledged change is lost

  Scenario: a leader whose disk is full is replaced
    Given 3 replicas with a leader
    When the disk of the leader is full
    Then another replica leads within 3 seconds of the next change
    When the disk accepts writes again
    Then every replica has the acknowledged change

  Scenario: a leader is elected after a full restart with one lost disk
    Given 3 replicas with a leader
    When all replicas are restarted, one with an empty disk
    Then a replica leads within 280 ms

  Scenario Outline: candidates do not depose each other after a full restart
    When all <count> replicas are restarted at once, 100 times
    Then a stable leader is elected within 400 ms at least <least> times

    Examples:
      | count | least |
      | 3     | 88    |
      | 5     | 80    |

  Scenario: an unreachable voter does not delay an election
    Given 3 replicas with a leader
    When the leader is isolated
    Then another replica leads within 850 ms

  Scenario: a replica with an empty disk does not vote for an outdated candidate
    Given 3 replicas, one of them with an outdated log
    When the leader is isolated and the up-to-date follower loses its disk
    Then no leader is elected for 10 seconds
    And every replica has the acknowledged change

  # Until the log has an entry, the members recorded at the bootstrap apply,
  # not those in the settings.
  Scenario: a bootstrapped group does not depend on its settings
    Given 3 replicas that have bootstrapped a group without electing a leader
    When all replicas are restarted with settings that name other members
    Then all replicas agree on a leader

  # Guards against a replica that goes on as leader after it has stepped down.
  Scenario: a leader steps down in the moment in which it gets an entry
    When replication to a follower is cancelled 0 to 5 steps after an entry was appended
    Then no cancellation is ignored
