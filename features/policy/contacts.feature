Feature: Whom a router asks where control is

  Background:
    Given a router whose settings name a, b

  Scenario: without anything learnt it asks whom its settings name
    Then it asks a, b, a in turn

  Scenario: new settings do not displace what the leader said
    When the leader names the replicas r1, r2, r3
    And new settings name x, y
    Then it asks r1, r2, r3, x, y, r1 in turn

  Scenario: members that took the founders' places are asked first
    When the leader names the replicas r1, r2, r3
    And the leader names the replicas r3, r4, r5
    Then it asks r3, r4, r5, a, b in turn

  Scenario: whom another instance calls the leader is asked at once, and once
    When another instance names the leader r2 and the replicas r1, r2
    Then it asks r2, r1, r2, a, b in turn

  Scenario: an instance that knows no leader takes none away
    When another instance names the leader r2 and the replicas r1, r2
    And another instance names no leader and the replicas r9
    Then it asks r2, r9, r1, r2, a, b in turn

  Scenario: however many say otherwise, the settings are still asked
    When 40 instances name a replica each
    Then it asks a within 20 tries

  Scenario: the replica in the same process is asked first
    Given a router beside the replica r0 whose settings name a, b
    Then it asks r0, a, b in turn
