Feature: Work of a leader for the streams of hundreds of routers

  Scenario: the members are found without scanning the log
    Given a log of 2000 entries with the members in the first
    When the members are read 100 times
    Then no entry was examined more than once

  Scenario: the members are right after any sequence of log operations
    Then random appends, merges and truncations keep the members right

  Scenario: a tick computes its updates once for all streams
    Given a leader with 200 router streams
    When a tick passes without changes
    Then the member addresses were read once
    And nothing was sent

  Scenario: a new stream gets the full state, and then only changes
    Given a leader with 3 router streams
    When another router attaches
    And a tick passes
    Then each of the first 3 streams is sent presence, view
    And the new stream is sent evacuations, presence, replicas, view
