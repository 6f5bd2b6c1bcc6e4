Feature: Every caller receives the whole answer to its own request

  Scenario: the connection to the engine is cut in the middle of an answer
    Given a fleet of 3 control replicas, 2 routers and 2 engines behind relays
    When 6 long answers are running and the engines' connections are cut
    Then every running answer is whole and is what the engine wrote
    And no answer ran twice

  Scenario: the steward is killed in the middle of an answer
    Given a fleet of 3 control replicas, 3 routers and 3 engines
    When long answers run through one router and the steward of another engine is killed
    Then every running answer is whole and is what the engine wrote
    And no answer ran twice

  Scenario: the steward is frozen in the middle of an answer
    Given a fleet of 3 control replicas, 3 routers and 3 engines
    When long answers run through one router and the steward of another engine freezes
    Then every running answer is whole or visibly cut

  Scenario: an engine is killed in the middle of an answer
    Given a fleet of 1 control replicas, 2 routers and 2 engines
    When 6 long answers are running and "draft-llm-1" is killed
    Then every running answer is whole or visibly cut
    And those that are cut say so with a typed error

  Scenario: a caller that was cut off resumes at another router
    Given a fleet of 1 control replicas, 2 routers and 2 engines
    When a caller reads a part of an answer at "router-1" and goes on at "router-2"
    Then both parts together are what the engine wrote
    And no answer ran twice

  Scenario: a caller that goes away for good stops its engine
    Given a fleet of 1 control replicas, 2 routers and 2 engines
    When a caller goes away in the middle of an answer at "router-1"
    Then the engine's work is cancelled

  Scenario: many answers cross on one hop
    Given a fleet of 1 control replicas, 2 routers and 2 engines
    When 40 different turns are sent at once to every router
    Then every answer is whole and is what the engine wrote
    And every caller got the answer to its own request

  Scenario: routers are killed and started again while the library calls
    Given a fleet of 3 control replicas, 3 routers, 3 engines and 1 services
    When 30 chats and 30 filings go through the library while routers restart
    Then the library got every chat whole
    And every filing ran at most once
