Feature: Prefixes keep their place while instances come and go

  Scenario: a replacement takes over the place of the one that leaves
    Given a catalog that has read the instances a, b, c
    When it reads a, b, c, d, and c is leaving
    Then d has the place of c

  Scenario: a replacement that comes before its predecessor leaves
    Given a catalog that has read the instances a, b, c
    When it reads a, b, c, d
    Then d has no place yet
    When it reads a, b, c, d, and a is leaving
    Then d has the place of a

  Scenario: an addition gets a place of its own after a while
    Given a catalog that has read the instances a, b, c
    When it reads a, b, c, d
    And 4 seconds pass
    And it reads a, b, c, d
    Then d has the place of d

  Scenario: a new leader keeps the places that it knows of
    Given a catalog that has read the instances a, b, c
    When it reads a, b, c, d, and c is leaving
    And another replica leads and reads a, b, d
    Then d has the place of c

  Scenario: an instance that crashed comes back under another name
    Given a catalog that has read the instances a, b, c
    When it reads a, b
    And 20 seconds pass
    And it reads a, b, d
    Then d has the place of c

  Scenario: a loss of all processes after a few replacements
    Given a catalog that has read the instances a, b, c
    When it reads a, b, d
    And it reads a, e, d
    And all processes start anew and one reads a, d, e
    Then a has the place of a
    And d has the place of c
    And e has the place of b

  Scenario: an instance that leaves keeps its place over a loss of all processes
    Given a catalog that has read the instances a, b, c
    When it reads a, b, c, d, and c is leaving
    And all processes start anew and one reads a, b, c, d, and c is leaving
    Then c has the place of c
    And d has the place of c

  Scenario: places that the log did not take are written later
    Given a catalog that has read the instances a, b, c
    When the log takes no entries
    And it reads a, b, d
    Then d has the place of c
    When the log takes entries again
    And all processes start anew and one reads a, b, d
    Then d has the place of c

  Scenario: places of instances that are gone for good are dropped
    Given a catalog that has read the instances a, b, c
    When instances a1 to a20 come one after the other
    Then 6 places are kept at the most

  Scenario: an instance is cold, and less so with every reading
    Given a catalog that has read the instances a, b, c
    When the list names a, b, c, and says that c is cold for 3000 ms more
    Then c is known to be cold for 3000 ms more
    When 1 seconds pass
    And the list names a, b, c, and says that c is cold for 2100 ms more
    And 1 seconds pass
    And the list names a, b, c, and says that c is cold for 700 ms more
    Then the list was told once for that

  Scenario: an instance turns cold again
    Given a catalog that has read the instances a, b, c
    When the list names a, b, c, and says that c is cold for 3000 ms more
    And 4 seconds pass
    And the list names a, b, c, and says that c is cold for 3000 ms more
    Then c is known to be cold for 3000 ms more

  Scenario: a list is told for another reason while an instance is cold
    Given a catalog that has read the instances a, b, c
    When the list names a, b, c, and says that c is cold for 3000 ms more
    And 2 seconds pass
    And the list names a, c, and says that c is cold for 800 ms more
    Then c is known to be cold for 500 ms more

  Scenario: the list cannot be read for a while
    Given a catalog that has read the instances a, b, c
    When it cannot read the list
    Then the instances are still a, b, c

  Scenario: the later pages of a list cannot be read
    Given a catalog that has read the instances a, b, c
    When a part that names a is all that it can read
    Then the instances are still a, b, c

  Scenario: an entry in what could be read of a list names no instance
    Given a catalog that has read the instances a, b, c
    When a part with a spoilt entry of b that names a is all it reads
    Then the instances are still a, c
    And 1 entry is counted as refused

  Scenario Outline: whoever serves the list wants to be asked less
    Given a catalog that has read the instances a, b, c
    When the list is refused, to be asked for again in <named> s
    Then it is read <count> times in 6 seconds

    Examples:
      | named | count |
      | 0     | 7     |
      | 2     | 3     |
      | 900   | 2     |
