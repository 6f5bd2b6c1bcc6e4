Feature: Admission by the owner of a backend server

  Scenario: queued requests raise the limit
    Given a router that owns 6 engines with 8 slots and nothing running elsewhere
    When 36 calls are queued, 6 at each engine
    Then each engine may run 8 calls

  Scenario: the limit is one call for each engine without load
    Given a router that owns 6 engines with 8 slots and nothing running elsewhere
    Then each engine may run 1 calls

  # Guards against a limit that counts a request that moved here twice: in the
  # own load and in an older load of another router.
  Scenario: the own load counts only as far as it is as old as the other loads
    Given a router that owns 6 engines with 8 slots and nothing running elsewhere
    When 10 reports are sent within 0.2 s, the first without load and the others with 6 calls
    Then each engine may run 1 calls

  Scenario: the own load counts once it is as old as the other loads
    Given a router that owns 6 engines with 8 slots and nothing running elsewhere
    When 10 reports are sent within 0.2 s, the first without load and the others with 6 calls
    And 0.3 s pass after an answer
    Then each engine may run 2 calls

  Scenario: no call is sent to an engine before the view has converged
    Given a router that owns 6 engines with 8 slots and nothing running elsewhere
    When 6 calls are queued, 1 at each engine
    Then all calls are still queued

  Scenario: queued calls are refused once the lease has lapsed
    Given a router that owns 6 engines with 8 slots and nothing running elsewhere
    When 6 calls are queued, 1 at each engine
    And the lease lapses and the view converges after that
    Then all calls are refused with "HP-3005" and none was sent

  # Guards against ignoring Retry-After when an engine refuses a call.
  Scenario: the owner sends nothing to an engine for its Retry-After time
    Given a router that owns 1 engines with 1 slots and nothing running elsewhere
    And its engines refuse calls with a Retry-After of 1 s
    When 10 calls are queued, 10 at each engine
    And 0.8 s pass with a converged view
    Then 1 call has reached the engines
    When 1 s pass with a converged view
    Then 2 calls have reached the engines
