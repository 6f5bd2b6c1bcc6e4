Feature: A new version reaches a router small, and fits the one it has

  Scenario: one message serves all routers that have the same version
    Given the versions 3 and 5, with 1000 routes between them
    Then two routers at version 3 get the same message
    And it takes less than a tenth of what the routes take
    And a router at version 3 that takes it has all routes of version 5

  Scenario: a router whose version is not known gets the whole configuration
    Given the versions 3 and 5, with 1000 routes between them
    Then a router at version 2 gets the whole configuration

  Scenario: a version that does not fit is refused with a reason
    Given the versions 3 and 5, with 1000 routes between them
    Then a router at version 4 that gets the message for version 3 fails with "HP-2009"
    And its version is still 4

  Scenario: versions share what did not change
    Given a group that has a whole configuration of 500 routes
    When an operator sends the same with one route more
    Then the two versions share the entries of all 500 routes
