Feature: Resumption of interrupted event streams

  Scenario: a caller gets each byte once wherever a stream is interrupted
    When 200 random streams are cut at random places and resumed
    Then the caller has received every stream whole
