Feature: What must not repeat runs at most once, and "not run" is true

  Scenario: a repetition gets the recorded outcome
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When a filing is sent to "router-1" and again to "router-2"
    Then both answers are the same and the second is a recorded one
    And the filing ran once

  Scenario: the backend server closes the connection after the work
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When a filing is sent to "router-1" whose answer the service loses
    Then it is answered with "HP-3105" and nobody knows if it ran
    When the same filing is sent to "router-2"
    Then it is answered with "HP-3105" and nobody knows if it ran
    And the filing ran once

  Scenario: a caller repeats at two other routers while it runs
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When a filing that takes 600 ms runs and is repeated at two routers
    Then the repetitions are answered with "HP-3104"
    And the first answer comes with status 200
    And the filing ran once

  Scenario: the router is killed between the sending and the answer
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When a filing that takes 1000 ms runs at "router-1", which is killed
    And the same filing is sent to "router-2" once the lease has lapsed
    Then it is answered with "HP-3105" and nobody knows if it ran
    And the filing ran once

  Scenario: the router is killed between the claim and the sending
    Given a fleet of 3 control replicas, 3 routers and 1 services with 1 slots
    When a filing waits with its claim at "router-1", which is killed
    And the same filing is sent to "router-2" once the lease has lapsed
    Then it is answered with "HP-3105" and nobody knows if it ran
    And the filing ran at most once

  Scenario: the router freezes between the claim and the sending
    Given a fleet of 3 control replicas, 3 routers and 1 services with 1 slots
    When a filing waits with its claim at "router-1", which freezes
    And the same filing is sent to "router-2" once the lease has lapsed
    Then it is answered with "HP-3105" and nobody knows if it ran
    When "router-1" wakes after 100 ms
    And the same filing is sent to "router-3" until it has a final answer
    Then the filing ran at most once
    And what the callers were told agrees with what ran

  Scenario: a refusal gives the claim back before it says "not run"
    Given a fleet of 3 control replicas, 3 routers and 1 services with 1 slots
    When a filing is refused for want of room
    Then it is refused with "HP-3004" and "not run"
    And the filing never ran
    When the same filing is sent to "router-3" until it has a final answer
    Then the last answer has status 200
    And the filing ran once

  Scenario: the same key with another request
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When a filing is sent to "router-1" and another one with its key
    Then it is refused with "HP-3103" and "not run"
    And the filing ran once

  Scenario: a key from before the retention is refused
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When a filing with a key from two hours ago is sent to "router-1"
    Then it is answered with "HP-3102" and nobody knows if it ran
    And nothing ran

  Scenario: the control leader is killed while filings come in
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When 40 filings come in and the control leader is killed
    Then every filing ran at most once
    And what the callers were told agrees with what ran

  Scenario: filings are repeated everywhere while a router is killed
    Given a fleet of 3 control replicas, 3 routers and 2 services
    When 30 filings are each sent to two routers and "router-3" is killed
    Then every filing ran at most once
    And what the callers were told agrees with what ran
