Feature: A router that stops finishes its answers and takes no new work

  Background:
    Given a fleet of 1 control replicas, 2 routers and 2 engines

  Scenario: a router that stops finishes every answer in flight
    Given 6 long answers are running through "router-1"
    When "router-1" gets SIGTERM
    Then "router-1" ends with code 0
    And every running answer is whole and is what the engine wrote

  Scenario: a router that stops refuses new work with an error
    Given 2 long answers are running through "router-1"
    When "router-1" gets SIGTERM
    And a caller sends a chat turn to "router-1"
    Then it is refused with "HP-3006" and "not run"

  Scenario: another router takes over the engines of a router that stopped
    When "router-1" gets SIGTERM
    Then "router-1" ends with code 0
    And every engine serves through "router-2"

  Scenario: all routers stop at the same time
    When "control-1" freezes
    And all routers get SIGTERM
    And "control-1" resumes after 300 ms
    Then all routers end with code 0 within 4 seconds
