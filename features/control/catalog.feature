Feature: Places are kept while instances are replaced

  Scenario: a replacement takes over the place of a leaving instance
    Given a catalog that has read the instances a, b, c
    When it reads a, b, c, d, and c is leaving
    Then d has the place of c

  Scenario: a replacement is listed before its predecessor leaves
    Given a catalog that has read the instances a, b, c
    When it reads a, b, c, d
    Then d has no place yet
    When it reads a, b, c, d, and a is leaving
    Then d has the place of a

  Scenario: an additional instance gets a place of its own after a delay
    Given a catalog that has read the instances a, b, c
    When it reads a, b, c, d
    And 4 seconds pass
    And it reads a, b, c, d
    Then d has the place of d

  Scenario: a new leader keeps the committed places
    Given a catalog that has read the instances a, b, c
    When it reads a, b, c, d, and c is leaving
    And another replica becomes leader and reads a, b, d
    Then d has the place of c

  Scenario: a crashed instance restarts under another name
    Given a catalog that has read the instances a, b, c
    When it reads a, b
    And 20 seconds pass
    And it reads a, b, d
    Then d has the place of c

  Scenario: places survive a restart of all processes
    Given a catalog that has read the instances a, b, c
    When it reads a, b, d
    And it reads a, e, d
    And all processes restart and the leader reads a, d, e
    Then a has the place of a
    And d has the place of c
    And e has the place of b

  Scenario: a leaving instance keeps its place after a restart of all processes
    Given a catalog that has read the instances a, b, c
    When it reads a, b, c, d, and c is leaving
    And all processes restart and the leader reads a, b, c, d, and c is leaving
    Then c has the place of c
    And d has the place of c

  Scenario: places whose commit failed are committed later
    Given a catalog that has read the instances a, b, c
    When commits fail
    And it reads a, b, d
    Then d has the place of c
    When commits succeed again
    And all processes restart and the leader reads a, b, d
    Then d has the place of c

  Scenario: places of removed instances are deleted
    Given a catalog that has read the instances a, b, c
    When instances a1 to a20 are listed one after the other
    Then at most 6 places are stored

  Scenario: the remaining cold time decreases with every reading
    Given a catalog that has read the instances a, b, c
    When the list has a, b, c, and c is cold for another 3000 ms
    Then c is published as cold for another 3000 ms
    When 1 seconds pass
    And the list has a, b, c, and c is cold for another 2100 ms
    And 1 seconds pass
    And the list has a, b, c, and c is cold for another 700 ms
    Then exactly one new list was published

  Scenario: an instance becomes cold again
    Given a catalog that has read the instances a, b, c
    When the list has a, b, c, and c is cold for another 3000 ms
    And 4 seconds pass
    And the list has a, b, c, and c is cold for another 3000 ms
    Then c is published as cold for another 3000 ms

  Scenario: a list with another change is published while an instance is cold
    Given a catalog that has read the instances a, b, c
    When the list has a, b, c, and c is cold for another 3000 ms
    And 2 seconds pass
    And the list has a, c, and c is cold for another 800 ms
    Then c is published as cold for another 500 ms

  Scenario: the list is unreadable
    Given a catalog that has read the instances a, b, c
    When it fails to read the list
    Then the known instances are a, b, c

  Scenario: the later pages of the list are unreadable
    Given a catalog that has read the instances a, b, c
    When a part of the list with a is readable
    Then the known instances are a, b, c

  Scenario: the readable part of the list has an unusable entry
    Given a catalog that has read the instances a, b, c
    When a part with an unusable entry of b and the instances a is readable
    Then the known instances are a, c
    And 1 entry is counted as refused

  Scenario Outline: the list is read less often if its server asks for a pause
    Given a catalog that has read the instances a, b, c
    When the server refuses the list and asks for a pause of <named> s
    Then it is read <count> times in 6 seconds

    Examples:
      | named | count |
      | 0     | 7     |
      | 2     | 3     |
      | 900   | 2     |

  Scenario: versions before the first record are remembered for a while
    Given a catalog that has read the versions a=v1, b=v1
    Then earlier+v1 may have begun streams
    When 29 seconds pass
    And the list shows the versions a=v1, b=v1
    Then earlier+v1 may have begun streams
    When 2 seconds pass
    And the list shows the versions a=v1, b=v1
    Then v1 may have begun streams

  # Guards against streams of versions that no record names.
  Scenario: instances of a new version are published once it is on record
    Given a catalog that has read the versions a=v1
    When commits fail
    And the list shows the versions a=v1, b=v1.1
    Then the known instances are a
    When commits succeed again
    Then the known instances are a, b
    And earlier+v1+v1.1 may have begun streams

  Scenario: nothing is published before the first versions are on record
    Given a catalog that has read the versions a=v1
    When commits fail
    And all processes restart and the list shows the versions b=v1.1
    Then no list is published
    When commits succeed again
    Then the known instances are b

  Scenario: the record outlives all processes
    Given a catalog that has read the versions a=v1
    When 31 seconds pass
    And the list shows the versions a=v1, b=v1.1
    And all processes restart and the list shows the versions b=v1.1
    Then v1+v1.1 may have begun streams
    When 29 seconds pass
    And the list shows the versions b=v1.1
    Then v1+v1.1 may have begun streams
    When 2 seconds pass
    And the list shows the versions b=v1.1
    Then v1.1 may have begun streams

  Scenario: one version on record is known at once after a restart
    Given a catalog that has read the versions a=v1
    When 31 seconds pass
    And the list shows the versions a=v1
    And all processes restart and the list shows the versions a=v1
    Then v1 may have begun streams

  Scenario: the state of an earlier release has no record
    Given a catalog that has read the versions a=v1
    When 31 seconds pass
    And the list shows the versions a=v1
    And all processes restart with a state of an earlier release
    And the list shows the versions a=v1
    Then earlier+v1 may have begun streams

  # Guards against a version that is published while its removal is committed.
  Scenario: a version comes back while its removal is not known to be committed
    Given a catalog that has read the versions a=v1, b=v1.1
    When the list shows the versions a=v1
    And 31 seconds pass
    And commits fail
    And the list shows the versions a=v1
    And the list shows the versions a=v1, c=v1.1
    Then the known instances are a
    When commits succeed again
    Then the known instances are a, c
    And v1+v1.1 may have begun streams

  # Guards against a change that is forgotten while it is committed.
  Scenario: a leader cannot lead for a moment while it removes a version
    Given a catalog that has read the versions a=v1, b=v1.1
    When the list shows the versions a=v1
    And 31 seconds pass
    And commits take 3 s
    And the list shows the versions a=v1
    And it does not lead for a moment
    And the list shows the versions a=v1, c=v1.1
    Then no list is published
    When 9 seconds pass
    And the list shows the versions a=v1, c=v1.1
    And 9 seconds pass
    And the list shows the versions a=v1, c=v1.1
    Then the known instances are a, c
    And v1+v1.1 may have begun streams

  Scenario: a service that is no longer listed needs no record
    Given a catalog that has read the versions a=v1
    When the list is empty
    And 31 seconds pass
    And the list is empty
    Then 0 services are on record
    When the list shows the versions b=v1.1
    Then earlier+v1.1 may have begun streams
