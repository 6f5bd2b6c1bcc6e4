Feature: Offsets in a stream of events

  Scenario: however a stream is cut, the caller gets each byte once
    When 200 random streams are cut at random places and resumed
    Then what the caller has is always the whole stream
