Feature: Placement by rendezvous hash with bounded loads

  Scenario: removing an engine moves only its own chats
    Given 2000 chats placed on 40 engines
    When one engine goes
    Then only its chats have moved, evenly to the others

  Scenario: adding an engine takes an equal share of chats from each
    Given 2000 chats placed on 40 engines
    When one engine comes
    Then every chat that moved is on the new one, and it has its share

  Scenario: a sequence of requests never exceeds the maximum load
    Then 5000 bounded placements on 40 engines stay within 1.25 of the mean

  Scenario: the test for the owner agrees with the ranking
    Then for 500 engines and 46 routers exactly one router is the steward
