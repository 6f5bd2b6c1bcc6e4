Feature: A router that stops finishes its answers and takes no new work

  Background:
    Given a fleet of 1 control replicas, 2 routers and 2 engines

  Scenario: a router that stops finishes every answer in flight
    Given 6 long answers are running through "router-1"
    When "router-1" gets SIGTERM
    Then "router-1" ends with code 0
    And every running answer is whole and is what the engine wrote

  # Guards against answers that are cut because their engines are silent for a
  # while.
  Scenario: a router stops while its engines are silent
    Given 6 long answers are running through "router-1"
    When "draft-llm-1" freezes
    And "draft-llm-2" freezes
    And "router-1" gets SIGTERM
    And "draft-llm-1" resumes after 1500 ms
    And "draft-llm-2" resumes after 0 ms
    Then every running answer is whole and is what the engine wrote
    And "router-1" ends with code 0
    And no answer ran twice

  Scenario: the steward of an engine stops while other routers have answers there
    When long answers run on an engine whose steward is another router, which stops
    Then every running answer is whole and is what the engine wrote
    And no answer ran twice

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
