Feature: Every caller receives the whole answer to its own request

  Scenario: the connection to the engine is cut during an answer
    Given a fleet of 3 control replicas, 2 routers and 2 engines behind relays
    When 6 long answers are running and the engines' connections are cut
    Then every running answer is whole and is what the engine wrote
    And no answer ran twice

  Scenario: the steward is killed during an answer
    Given a fleet of 3 control replicas, 3 routers and 3 engines
    When long answers run on an engine whose steward is another router, which is killed
    Then every running answer is whole and is what the engine wrote
    And no answer ran twice

  Scenario: the steward is frozen during an answer
    Given a fleet of 3 control replicas, 3 routers and 3 engines
    When long answers run on an engine whose steward is another router, which freezes
    Then every running answer is whole or visibly incomplete

  # Guards against answers that are cut because their engine is silent.
  Scenario: an engine is silent during an answer
    Given a fleet of 1 control replicas, 2 routers and 2 engines
    And 6 long answers are running through "router-1"
    When "draft-llm-1" freezes
    And "draft-llm-1" resumes after 2500 ms
    Then every running answer is whole and is what the engine wrote
    And no answer ran twice

  Scenario: an engine is silent for good during an answer
    Given a fleet of 1 control replicas, 2 routers and 1 engines
    When an answer with a deadline of 2 seconds runs at "router-1" and its engine freezes
    Then it ends 2 to 3.5 seconds after it began, with an error event "HP-3011"

  Scenario: a service is silent before its answer
    Given a fleet of 1 control replicas, 2 routers and 1 services
    When a filing runs at "router-1" and its service freezes for 2500 ms
    Then the filing is answered with status 200
    And it ran once

  # Guards against answers that a former steward cancels at their engine.
  Scenario: the steward is frozen for longer than its lease, and goes on
    Given a fleet of 3 control replicas, 3 routers and 3 engines
    When long answers run on an engine whose steward is another router, which freezes for 1600 ms
    Then every running answer is whole and is what the engine wrote
    And no answer ran twice

  Scenario: an engine is killed during an answer
    Given a fleet of 1 control replicas, 2 routers and 2 engines
    When 6 long answers are running and "draft-llm-1" is killed
    Then every running answer is whole or visibly incomplete
    And the incomplete answers end with an error event

  Scenario: a caller resumes an interrupted answer at another router
    Given a fleet of 1 control replicas, 2 routers and 2 engines
    When a caller reads part of an answer at "router-1" and resumes it at "router-2"
    Then both parts together are what the engine wrote
    And no answer ran twice

  # Guards against answers that are cancelled after they were resumed.
  Scenario: a caller resumes an answer that lasts longer than the reconnect period
    Given a fleet of 1 control replicas, 2 routers and 2 engines
    When a caller reads part of a very long answer at "router-1" and resumes it at "router-2"
    Then both parts together are what the engine wrote
    And no answer ran twice

  Scenario: an answer is cancelled when its caller disconnects
    Given a fleet of 1 control replicas, 2 routers and 2 engines
    When a caller disconnects during an answer at "router-1"
    Then the engine cancels the answer

  Scenario: many concurrent answers share one hop
    Given a fleet of 1 control replicas, 2 routers and 2 engines
    When 40 different turns are sent at once to every router
    Then every answer is whole and is what the engine wrote
    And every caller got the answer to its own request

  Scenario: routers are restarted while the client library sends requests
    Given a fleet of 3 control replicas, 3 routers, 3 engines and 1 services
    When 30 chats and 30 filings are sent by the client library while routers restart
    Then the client library received every chat whole
    And every filing ran at most once
