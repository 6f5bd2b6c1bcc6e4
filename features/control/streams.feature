Feature: What a leader does for the streams of hundreds of routers

  Scenario: who the members are is known without reading the log
    Given a log of 2000 entries, of which the first names the members
    When it is asked 100 times who the members are
    Then no entry was looked at more than once

  Scenario: who the members are, whatever happens to the log
    Then a log that is added to, overwritten and cut knows its members

  Scenario: what there is to tell is found out once, not once a stream
    Given a leader with the streams of 200 routers
    When a tick passes without news
    Then it asked once who the members are
    And nothing was sent

  Scenario: a stream gets all that there is, and then what changes
    Given a leader with the streams of 3 routers
    When another router attaches
    And a tick passes
    Then each of the first 3 is told presence, view
    And the new one is told evacuations, presence, replicas, view
