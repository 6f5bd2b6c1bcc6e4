Feature: The addresses at which a router looks for the control leader

  Background:
    Given a router whose settings name a, b

  Scenario: without other information it asks the configured addresses
    Then it asks a, b, a in turn

  Scenario: new settings do not replace the replicas that the leader named
    When the leader names the replicas r1, r2, r3
    And new settings name x, y
    Then it asks r1, r2, r3, x, y, r1 in turn

  Scenario: the latest members of the control group are asked first
    When the leader names the replicas r1, r2, r3
    And the leader names the replicas r3, r4, r5
    Then it asks r3, r4, r5, a, b in turn

  Scenario: a leader that another instance names is asked next, and once
    When another instance names the leader r2 and the replicas r1, r2
    Then it asks r2, r1, r2, a, b in turn

  Scenario: an instance that names no leader does not clear an earlier hint
    When another instance names the leader r2 and the replicas r1, r2
    And another instance names no leader and the replicas r9
    Then it asks r2, r9, r1, r2, a, b in turn

  Scenario: the configured addresses are asked despite many hints
    When 40 instances name a replica each
    Then it asks a within 20 tries

  Scenario: the replica in the same process is asked first
    Given a router beside the replica r0 whose settings name a, b
    Then it asks r0, a, b in turn
