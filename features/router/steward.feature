Feature: Admission by the steward

  Scenario: what waits raises the bound
    Given a steward of 6 engines with 8 slots and nothing running elsewhere
    When 36 calls wait for room, 6 at each engine
    Then each engine may run 8 calls

  Scenario: what does not wait leaves the bound where it is
    Given a steward of 6 engines with 8 slots and nothing running elsewhere
    Then each engine may run 1 calls

  Scenario: nobody sends to an engine before its view is settled
    Given a steward of 6 engines with 8 slots and nothing running elsewhere
    When 6 calls wait for room, 1 at each engine
    Then all of them still wait

  Scenario: without a lease nothing that waits is started
    Given a steward of 6 engines with 8 slots and nothing running elsewhere
    When 6 calls wait for room, 1 at each engine
    And the lease lapses and the view is settled after that
    Then all of them are refused with "HP-3005" and none was sent

  # Steward and gateway had the same fault: what an engine asks for when it
  # turns a call away was never read. All ten calls went there in 20 ms.
  Scenario: an engine that asks for rest gets nothing from its steward
    Given a steward of 1 engines with 1 slots and nothing running elsewhere
    And its engines turn calls away and ask for 1 s of rest
    When 10 calls wait for room, 10 at each engine
    And 0.8 s pass with a settled view
    Then 1 call has reached the engines
    When 1 s pass with a settled view
    Then 2 calls have reached the engines
