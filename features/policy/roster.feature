Feature: A leader calls routers that are not connected

  Background:
    Given a leader that has stored the routers a, b, c

  Scenario: routers that connect by themselves are not called
    When a, b, c connect after 0.4 seconds
    Then no router is called within 60 seconds

  Scenario: a missing router is called soon, and then less often
    When a, b connect after 0.1 seconds
    Then only c is called within 60 seconds, first after 0.5 seconds
    And 17 calls come within 60 seconds, at least 4 seconds apart in the end
    And 21 calls come within 160 seconds, at least 30 seconds apart in the end

  Scenario: a router that loses its stream is called again
    When a, b, c connect after 0.1 seconds
    And the stream of b ends after 30 seconds
    Then only b is called within 60 seconds, first after 30.5 seconds

  Scenario: hundreds of routers are missing at the same time
    Given a leader that has stored 300 routers
    Then at most 16 are called at the same time, and all within 10 s

  Scenario: a router that is missing for more than an hour expires
    When a, b connect after 0.1 seconds
    Then no router has expired after 3500 seconds
    And only c has expired after 3700 seconds
