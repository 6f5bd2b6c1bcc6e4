Feature: Gateways that cannot reach the instances of a service

  # Guards against a gateway that refuses all requests although other gateways
  # reach the instances.
  Scenario: gateways without a link to any instance serve their callers
    Given a platform whose gateways have links of their own to 4 instances
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When callers send 10 requests a second to every gateway
    And the links of gateway 2 are silent
    And the links of gateway 9 are refusing
    And callers go on for 6 seconds
    Then from 3 seconds on gateways 2 and 9 serve 0.95 as often as the others

  # Guards against requests that wait on connections from before a cut, and
  # never show it.
  Scenario: a gateway with few requests finds out that it has no links
    Given a platform whose gateways have links of their own to 4 instances
    When an operator sends version 7 with a route for non-idempotent requests
    Then every instance is ready within 10 seconds
    When callers send 2 requests a second to every gateway
    And the links of gateway 2 are silent
    And the links of gateway 9 are silent
    And callers go on for 7 seconds
    Then from 3 seconds on gateways 2 and 9 serve 0.95 as often as the others

  # Guards against gateways that are cut off and make the others avoid instances
  # that work.
  Scenario: gateways without a link to any instance do not exclude instances
    Given a platform whose gateways have links of their own to 4 instances
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When callers send 10 requests a second to every gateway
    And the links of gateway 2 are silent
    And the links of gateway 9 are silent
    And callers go on for 4 seconds
    Then no instance was excluded for all gateways

  Scenario: a gateway that forwards a stream is killed
    Given a platform whose gateways have links of their own to 4 instances
    When an operator sends version 7 with a route for resumable streams
    Then every instance is ready within 10 seconds
    When the links of gateway 9 are refusing
    And a stream through gateway 9 loses the gateway that forwards it
    Then the caller has all events of the stream once, in order

  Scenario: a gateway that forwards a non-idempotent request is killed
    Given a platform whose gateways have links of their own to 4 instances
    When an operator sends version 7 with a route for non-idempotent requests
    Then every instance is ready within 10 seconds
    When the links of gateway 9 are refusing
    And a slow request through gateway 9 loses the gateway that forwards it
    Then the caller learns that it may have run, and it arrived once

  Scenario: all gateways lose their links
    Given a platform whose gateways have links of their own to 4 instances
    When an operator sends version 7 to any instance
    Then every instance is ready within 10 seconds
    When callers send 10 requests a second to every gateway
    And the links of all gateways are silent
    And callers go on for 5 seconds
    Then from 3 seconds on all requests are refused as not run, the median within 10 ms
    When the links of all gateways are open
    And callers go on for 4 seconds
    Then from 2 seconds on all requests are served
