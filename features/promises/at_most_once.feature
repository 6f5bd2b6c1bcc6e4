Feature: A call with an idempotency key runs at most once, and "not run" is true

  Scenario: a repeated call gets the recorded outcome
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When a filing is sent to "router-1" and again to "router-2"
    Then both answers are the same and the second is marked as recorded
    And the filing ran once

  Scenario: the backend server closes the connection after the work
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When a filing is sent to "router-1" and its answer is lost
    Then it is answered with "HP-3105" and an unknown outcome
    When the same filing is sent to "router-2"
    Then it is answered with "HP-3105" and an unknown outcome
    And the filing ran once

  Scenario: a call is repeated at two other routers while it runs
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When a filing that takes 600 ms runs and is repeated at two routers
    Then the repetitions are answered with "HP-3104"
    And the first answer comes with status 200
    And the filing ran once

  Scenario: the router is killed while the backend server runs the call
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When a filing that takes 1000 ms runs at "router-1", which is killed
    And the same filing is sent to "router-2" once the lease has lapsed
    Then it is answered with "HP-3105" and an unknown outcome
    And the filing ran once

  Scenario: the router is killed after the claim, before it sends the call
    Given a fleet of 3 control replicas, 3 routers and 1 services with 1 slots
    When a filing is claimed and queued at "router-1", which is killed
    And the same filing is sent to "router-2" once the lease has lapsed
    Then it is answered with "HP-3105" and an unknown outcome
    And the filing ran at most once

  Scenario: the router freezes after the claim, before it sends the call
    Given a fleet of 3 control replicas, 3 routers and 1 services with 1 slots
    When a filing is claimed and queued at "router-1", which freezes
    And the same filing is sent to "router-2" once the lease has lapsed
    Then it is answered with "HP-3105" and an unknown outcome
    When "router-1" resumes after 100 ms
    And the same filing is sent to "router-3" until it has a final answer
    Then the filing ran at most once
    And the callers' answers agree with the execution log

  Scenario: a refused call releases its claim before it is answered "not run"
    Given a fleet of 3 control replicas, 3 routers and 1 services with 1 slots
    When a filing is refused because no slot is free
    Then it is refused with "HP-3004" and "not run"
    And the filing never ran
    When the same filing is sent to "router-3" until it has a final answer
    Then the last answer has status 200
    And the filing ran once

  Scenario: a key that was used for a different request is refused
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When a filing is sent to "router-1" and a different one with its key
    Then it is refused with "HP-3103" and "not run"
    And the filing ran once

  Scenario: a key older than the retention period is refused
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When a filing with a key from two hours ago is sent to "router-1"
    Then it is answered with "HP-3102" and an unknown outcome
    And nothing ran

  Scenario: the control leader is killed while filings come in
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When 40 filings come in and the control leader is killed
    Then every filing ran at most once
    And the callers' answers agree with the execution log

  Scenario: filings are each sent to two routers, one of which is killed
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When 30 filings are each sent to two routers and "router-3" is killed
    Then every filing ran at most once
    And the callers' answers agree with the execution log
