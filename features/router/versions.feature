Feature: Routers get a new configuration as a delta to their version

  Scenario: one message serves all routers that have the same version
    Given the versions 3 and 5, which differ by 1000 routes
    Then two routers at version 3 get the same message
    And it is smaller than a tenth of the routes
    And a router at version 3 that applies it has all routes of version 5

  Scenario: a router whose version is unknown gets the whole configuration
    Given the versions 3 and 5, which differ by 1000 routes
    Then a router at version 2 gets the whole configuration

  Scenario: a delta to another version is refused
    Given the versions 3 and 5, which differ by 1000 routes
    Then a router at version 4 that gets the message for version 3 fails with "HP-2009"
    And its version is still 4

  Scenario: versions share unchanged entries
    Given a control group that has a whole configuration of 500 routes
    When an operator sends the same configuration with one more route
    Then the two versions share the entries of all 500 routes
