Feature: The control log keeps what it has acknowledged

  Scenario: whatever fails in whatever order, nothing acknowledged is lost
    When 60 random histories of 3 replicas are played, with lost disks
    Then in each all replicas end with everything that was acknowledged

  Scenario: the same for five replicas
    When 25 random histories of 5 replicas are played, with lost disks
    Then in each all replicas end with everything that was acknowledged

  Scenario: a replica with an empty disk gives no vote to a stale candidate
    Given 3 replicas of which one has an old log
    When the one with the newest log is cut off and another loses its disk
    Then nobody is elected until the newest one is back
    And what was acknowledged is still there
