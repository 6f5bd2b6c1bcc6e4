Feature: Instances that crash if they reject too many requests

  # Guards against a burst under which nearly all instances crash, and nobody is
  # served.
  @alone
  Scenario: a burst reaches brittle instances through eight gateways
    Given a platform of 8 gateways before 10 brittle instances with 4 slots that survive 4 rejections
    When an operator sends version 7 with a route for non-idempotent requests
    Then every instance is ready within 10 seconds
    When callers send 0.4 times as many requests as the instances can run, for 3 seconds
    And callers send 1.7 times as many requests as the instances can run, for 5 seconds
    Then at most 2 and a tenth of the brittle instances have crashed
    And at least 0.7 of their capacity was used
