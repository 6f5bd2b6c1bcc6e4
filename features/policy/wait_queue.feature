Feature: Requests wait in one queue for the slots of a small service

  # Guards against a queue without a forecast, which serves all requests late,
  # and against gateways that each decide by counts that are a report old.
  Scenario Outline: a service is offered too much, by far or hardly
    Given <seeds> seeds of <load> times the load that 4 instances can serve
    When the requests wait in one queue instead of being sent at once
    Then at least <more> more of them are served in time
    And at most <less> less of them are served at all
    And half of the refusals take at most 20 ms

    Examples:
      | load | seeds | more | less |
      | 0.6  | 3     | 0.04 | 0.01 |
      | 0.8  | 3     | 0.1  | 0.01 |
      | 1.0  | 6     | 0.2  | 0.0  |
      | 1.3  | 3     | 0.2  | 0.01 |

  Scenario Outline: the service, its gateways or the forecasts are different
    Given 2 seeds of 1.0 times the load that 4 instances can serve
    And <what>
    When the requests wait in one queue instead of being sent at once
    Then at least 0.19 more of them are served in time
    And at most 0.015 less of them are served at all
    And half of the refusals take at most 20 ms

    Examples:
      | what                                             |
      | an instance is lost for 5 s                      |
      | 10 gateways                                      |
      | 200 gateways                                     |
      | requests take 2.0 times as long as the queue is told |
      | requests take 0.5 times as long as the queue is told |

  Scenario: a service of ten times the size
    Given 1 seeds of 1.0 times the load that 40 instances can serve
    And 370 gateways
    When the requests wait in one queue instead of being sent at once
    Then at least 0.2 more of them are served in time
    And at most 0.015 less of them are served at all

  Scenario: an account sends many times its usual
    Given 2 seeds of 0.8 times the load that 4 instances can serve
    And the first account sends 7.5 times its usual
    When the requests wait in one queue instead of being sent at once
    Then 0.8 of the requests of each other account are served in time
    And the first account is served at least as much as the others

  Scenario: callers of an account repeat at once
    Given 2 seeds of 1.0 times the load that 4 instances can serve
    And the callers of the last account repeat at once 3 times
    When the requests wait in one queue instead of being sent at once
    Then no account has less than half of the mean share in time
    And the last account is served at most 0.05 more than the mean

  Scenario Outline: routes of different urgency
    Given 2 seeds of <load> times the load that 4 instances can serve
    And <share> of the requests are urgent
    When the requests wait in one queue instead of being sent at once
    Then no route has less than half of the mean share in time
    And urgent requests are served in time more often

    Examples:
      | load | share |
      | 1.0  | 0.5   |
      | 1.3  | 0.8   |

  Scenario: callers come back when they are told
    Given 2 seeds of 1.0 times the load that 4 instances can serve
    When the requests wait in one queue instead of being sent at once
    Then 0.8 of the callers that were told when to come back are served then

  Scenario: a request that fits is not refused
    Given a queue before 2 slots, of which 1 is taken
    When a request asks
    Then it is admitted, with a forecast of 0.0 s
    And it is granted a slot

  Scenario: a request that can be in time goes before one that cannot
    Given a queue before 4 slots, of which 4 are taken
    When request "late" asks, whose objective has passed
    And request "early" asks 0.01 s later
    Then "early, late" is the order of the grants

  Scenario: urgent requests go first, but none waits for ever
    Given a queue before 4 slots, of which 4 are taken
    When request "idle" asks with priority 9
    And request "urgent" asks 0.01 s later with priority 0
    And request "other" asks 0.3 s later with priority 0
    Then "urgent, idle, other" is the order of the grants

  Scenario: accounts take turns
    Given a queue before 4 slots, of which 4 are taken
    When request "a1" of account "a" asks
    And request "a2" of account "a" asks
    And request "a3" of account "a" asks
    And request "b1" of account "b" asks
    Then "a1, b1, a2, a3" is the order of the grants

  Scenario: a route whose requests got no slots goes first
    Given a queue before 4 slots, of which 4 are taken
    And 10 requests of route "often" got slots, and 10 of route "never" did not
    When on route "often", request "usual" asks with priority 5
    And on route "never", request "passed over" asks with priority 9
    Then "passed over, usual" is the order of the grants

  Scenario: a request whose forecast worsens is refused at once
    Given a queue before 8 slots, of which 8 are taken
    When 20 requests ask
    And 7 of the slots are lost
    Then at least 10 requests are refused at once as overtaken

  Scenario: a request is not granted after its deadline
    Given a queue before 2 slots, of which 2 are taken
    When a request asks
    And 2.0 s pass
    Then no slot is granted

  Scenario Outline: requests with unusable figures
    Given a queue before 2 slots, of which 1 is taken
    When a request asks whose <field> is <value>
    Then it is <answer>

    Examples:
      | field        | value    | answer                 |
      | allowed      | empty    | refused as no_instance |
      | deadline_at  | past     | refused as deadline    |
      | deadline_at  | not a number | refused as deadline |
      | deadline_at  | infinite | admitted               |
      | objective_at | past     | admitted               |
      | objective_at | not a number | admitted           |
      | objective_at | infinite | admitted               |
      | priority     | negative | admitted               |
      | priority     | huge     | admitted               |
      | fingerprint  | empty    | admitted               |

  Scenario: a deadline that is too near
    Given a queue before 2 slots, of which 2 are taken
    When a request asks that must be done in 0.05 s
    Then it is refused as deadline

  Scenario: a slot is free for a request whose deadline is near
    Given a queue before 2 slots, of which 1 is taken
    When a request asks that must be done in 0.05 s
    Then it is granted a slot

  Scenario: a slot that was forecast is not free before a near deadline
    Given a queue before 2 slots, of which 1 is taken
    When a request asks that must be done in 0.05 s
    And 0.06 s pass
    Then no slot is granted

  Scenario: requests are granted again after a slow time
    Given a queue before 2 slots, of which 0 are taken
    And 100 requests held their slots for 1.6 s
    When a request asks that must be done in 1.5 s
    Then it is granted a slot

  Scenario: refusals do not keep durations of a slow time
    Given a queue before 2 slots, of which 2 are taken
    And 100 requests held their slots for 1.6 s
    When 50 requests ask that must be done in 1.5 s
    Then fewer than 25 of them are refused as deadline

  Scenario: a long deadline holds until the end of the request
    Given a queue before 2 slots, of which 1 is taken
    When a request asks that must be done in 120 s
    Then it is granted a slot for 120 s

  Scenario: no instance is left
    Given a queue before 0 slots, of which 0 are taken
    When a request asks
    Then it is refused as forecast
    And its caller is not told when to come back

  Scenario: refused callers are told different times
    Given a queue before 4 slots, of which 4 are taken
    And so many requests wait that the next one is refused
    When 16 more requests ask
    Then they are told times that are at least 0.02 s apart
    And each time is within a third of what its caller has left
    And those that would come later are not told a time

  Scenario: a caller that comes back at its time goes before new ones
    Given a queue before 4 slots, of which 4 are taken
    And so many requests wait that the next one is refused
    When request "back" asks, and asks again at the time that it was told
    Then it is granted one of the next 6 slots

  Scenario: a caller that comes back before its time is owed nothing
    Given a queue before 4 slots, of which 4 are taken
    And so many requests wait that the next one is refused
    When request "back" asks, and asks again at once
    Then it is refused again, and told the same time

  Scenario: the memory of refused requests is bounded
    When 20000 requests are refused
    Then at most 10000 of them are remembered
    And none 10 s later
