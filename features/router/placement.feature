Feature: Placement by rendezvous hash with bounded loads

  Scenario: an engine that goes moves only its own chats
    Given 2000 chats placed on 40 engines
    When one engine goes
    Then only its chats have moved, evenly to the others

  Scenario: an engine that comes takes an equal part from each
    Given 2000 chats placed on 40 engines
    When one engine comes
    Then every chat that moved is on the new one, and it has its share

  Scenario: a sequence of requests never passes the bound
    Then 5000 bounded placements on 40 engines stay within 1.25 of the mean

  Scenario: the steward test agrees with the ranking
    Then for 500 engines and 46 routers exactly one router is the steward
