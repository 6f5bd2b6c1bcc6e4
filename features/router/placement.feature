Feature: Placement by rendezvous hash with bounded loads

  Scenario: removing an engine moves only its own chats
    Given 2000 chats placed on 40 engines
    When one engine is removed
    Then only its chats have moved, evenly to the other engines

  Scenario: adding an engine takes an equal share of chats from each
    Given 2000 chats placed on 40 engines
    When one engine is added
    Then all moved chats are on the new engine, which has an equal share

  Scenario: a sequence of requests never exceeds the maximum load
    Then 5000 bounded placements on 40 engines stay within 1.25 of the mean

  Scenario: exactly one router is the steward of each engine
    Then for 500 engines and 46 routers exactly one router is the steward
