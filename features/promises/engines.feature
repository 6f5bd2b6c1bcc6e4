@alone
Feature: Engines are not overloaded and get no new work when they leave

  Scenario: no engine passes the bound while large accounts surge
    Given a fleet of 1 control replicas, 3 routers and 6 engines
    When 240 turns of ten chats are sent over 3 seconds
    Then no engine exceeded its bound when a request started
    And every answer is whole and is what the engine wrote

  Scenario: the bound holds while engines change hands
    Given a fleet of 3 control replicas, 3 routers and 6 engines
    When 240 turns of ten chats are sent over 3 seconds and "router-3" is killed
    Then no engine exceeded its bound when a request started

  Scenario: the turns of a killed engine go to others until it is restarted
    Given a fleet of 1 control replicas, 2 routers and 3 engines
    When "draft-llm-2" is killed
    Then a chat of "draft-llm-2" is answered by another engine
    When "draft-llm-2" is restarted
    Then the chat is answered by "draft-llm-2" again

  Scenario: an engine that is listed as leaving gets no new work
    Given a fleet with an instance list that lags 500 ms
    When the instance list shows "draft-llm-2" as leaving
    Then "draft-llm-2" gets no new work 3 seconds later

  Scenario: the cached prefixes of a leaving engine are moved to other engines
    Given a fleet with an instance list that lags 100 ms
    When 30 chats have had a turn on "draft-llm-2"
    And the instance list shows "draft-llm-2" as leaving
    Then the next turns of these chats hit the caches of other engines

  Scenario: an engine that is removed from the bundle gets no new work
    Given a fleet of 1 control replicas, 2 routers and 3 engines
    When a bundle without "draft-llm-2" is rolled out
    Then "draft-llm-2" gets no new work 0 seconds later

  Scenario: a surge of one client account does not delay the others
    Given a fleet of 1 control replicas, 2 routers and 1 engines of 4 slots
    When "courtyards" sends 60 turns at once and "district-1" 6 a little later
    Then the turns of "district-1" take less than a third of the surge
    And every answer is whole and is what the engine wrote

  Scenario: turns that cannot start before their deadline are refused at once
    Given a fleet of 1 control replicas, 1 routers and 1 engines of 1 slots
    When 12 long turns with a deadline of 1 seconds are sent at once
    Then turns that cannot start are refused within 300 ms with a Retry-After header
