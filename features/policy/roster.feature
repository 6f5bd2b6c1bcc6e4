Feature: When a leader calls routers that have no stream

  Background:
    Given a leader that remembers the routers a, b, c

  Scenario: those that come by themselves are not called
    When a, b, c attach after 0.4 seconds
    Then nobody is called within 60 seconds

  Scenario: one that does not come is called soon, and then less often
    When a, b attach after 0.1 seconds
    Then c alone is called within 60 seconds, first after 0.5 seconds
    And 17 calls come within 60 seconds, at least 4 seconds apart in the end
    And 21 calls come within 160 seconds, at least 30 seconds apart in the end

  Scenario: one that lost its stream again is called anew
    When a, b, c attach after 0.1 seconds
    And the stream of b ends after 30 seconds
    Then b alone is called within 60 seconds, first after 30.5 seconds

  Scenario: hundreds are missing at the same moment
    Given a leader that remembers 300 routers
    Then at most 16 are called at once, and all within 10 s

  Scenario: one that is missing for more than an hour is forgotten
    When a, b attach after 0.1 seconds
    Then nobody is forgotten after 3500 seconds
    And c alone is forgotten after 3700 seconds
