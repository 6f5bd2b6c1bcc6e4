Feature: Answers of silent instances in rare situations

  # Guards against an answer of two instances.
  Scenario: a large answer is passed on just as its instance is given up
    Given a gateway for idempotent requests whose instances start of a large answer; answer
    When a caller sends a request, and bytes that are passed on arrive as its instance is given up
    Then the caller gets the whole answer of one instance

  Scenario: the answers of three callers go on while all instances are silent
    Given a gateway for idempotent requests whose instances answer after 1200 ms
    When 3 callers send a request at the same time
    Then 3 requests arrived, and all are answered completely

  # Instances with long requests of another route are not silent.
  Scenario: a dead instance is left while the others run long requests
    Given a gateway for idempotent requests whose instances answer after 2500 ms; answer after 2500 ms; silent; answer
    When 2 callers send long requests of another route, and then one sends a request
    Then it gets 200, and 4 requests arrived

  Scenario: a dead instance is avoided after its request has failed
    Given a gateway without a retry budget for idempotent requests whose instances silent; answer
    When a caller sends a request, and its lines are kept
    Then its instance was avoided

  Scenario: answers through another gateway go on while all instances are silent
    Given a gateway for streaming resumable requests that reaches no instance, and another one whose instances stream with a pause
    When 12 callers send a request at the same time
    Then 12 requests arrived, and all are answered completely

  Scenario: an answer through another gateway goes on if that one refuses further requests
    Given a gateway for streaming resumable requests that reaches no instance, and another one whose instances stream with a pause
    When a caller sends a request while the other gateway refuses further ones
    Then the caller has every event once, in order

  # The search for the next attempt uses up the instances that it cannot reach.
  Scenario: a broken stream goes on at an instance that was not reached while it was silent
    Given a gateway for streaming resumable requests whose instances stream reset after a pause; stream
    When a caller sends a request while no connection is made for 600 ms
    Then the caller has every event once, in order

  Scenario: a reserved attempt that is released does not prolong an idle connection
    Given a gateway for streaming resumable requests whose instances stream
    Then releasing an unused connection does not prolong it

  Scenario: a request that was served tells no reason why it was not repeated
    Given a gateway without a retry budget for streaming resumable requests whose instances stream with a pause
    When a caller sends a request, and its lines are kept
    Then its last line has no reason

  Scenario: streams stay where they are while all instances of their version leave and are silent
    Given a gateway for streaming resumable requests whose instances stream with a pause; stream slowly
    And its instances have the versions v1, v1, v1.1
    When each instance has a stream, and those of v1 leave and are silent
    Then 3 requests arrived in all

  Scenario: a caller leaves while the next attempt is prepared
    Given a gateway for streaming resumable requests whose instances stream and wait
    When a caller leaves while connections take 500 ms
    Then nothing is held for another attempt

  Scenario: the deadline passes while the next attempt is prepared
    Given a gateway for idempotent requests whose instances silent
    When a caller with a deadline of 800 ms sends a request while connections take 500 ms
    Then nothing is held for another attempt
    And its last line has the code HP-3011

  # Guards against connections that stay open until the process ends.
  Scenario: a search that ends just as its connection is made keeps no connection
    Given a gateway for streaming resumable requests whose instances stream
    When 5 connections are made just as nobody waits for them any more
    Then none of them stays open

  Scenario: streams go on where they are while the instances resume one after the other
    Given a gateway for streaming resumable requests whose instances stream slowly after 600 ms
    And two of its instances resume 250 ms after the first one
    When 6 callers send a request at the same time
    Then 6 requests arrived, and all are answered completely

  # New requests take each slot that becomes free.
  Scenario: a dead instance is left while the others are busy
    Given a gateway for streaming resumable requests whose instances stream slowly
    And each of its instances has 1 slot, and one is silent after its first event
    When a caller has its stream there while 4 others send one stream after the other
    Then its stream is whole
