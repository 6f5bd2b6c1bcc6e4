Feature: A stream holds events of one software version

  # Guards against streams that were resumed at an instance of another version.
  Scenario: a broken stream is resumed only at the version that began it
    Given a gateway for streaming resumable requests whose instances stream cut unless resumed
    And its instances have the versions v1, v1, v1.1
    When 20 callers send a request one after the other
    Then no stream holds events of two versions
    And the streams that began at v1.1 are broken

  Scenario: a broken stream goes on at another instance of its version
    Given a gateway for streaming resumable requests whose instances stream cut unless resumed
    And its instances have the versions v1, v1, v1.1
    When 3 callers send a request one after the other
    Then the streams that began at v1 are whole

  Scenario: a stream is broken off at once if no other instance has its version
    Given a gateway for streaming resumable requests whose instances stream cut later; stream
    And its instances have the versions v1, v1.1, v1.2
    When a caller sends a request
    Then it gets 200, and 1 requests arrived
    And the caller sees that the answer is incomplete
    And it is answered within 500 ms

  Scenario: an attempt without events leaves the version open
    Given a gateway for streaming resumable requests whose instances chunked stream without events; stream
    And its instances have the versions v1, v1.1, v1.2
    When a caller sends a request
    Then it gets 200, and 2 requests arrived
    And no stream holds events of two versions
    And the stream is whole

  Scenario: requests without events may be repeated at any version
    Given a gateway for idempotent requests whose instances fail; answer
    And its instances have the versions v1, v1.1, v1.2
    When a caller sends a request
    Then it gets 200, and 2 requests arrived

  Scenario: a stream through another gateway is resumed only at its version
    Given a gateway for streaming resumable requests that reaches no instance, and another one whose instances stream cut unless resumed
    And its instances have the versions v1, v1, v1.1
    When 20 callers send a request one after the other
    Then no stream holds events of two versions

  Scenario: a stream through another gateway goes on at its version
    Given a gateway for streaming resumable requests that reaches no instance, and another one whose instances stream cut unless resumed
    And its instances have the versions v1, v1, v1.1
    When 3 callers send a request one after the other
    Then the streams that began at v1 are whole

  # Guards against an older gateway in the fleet, which chooses any instance.
  Scenario: the other gateway does not choose by version
    Given a gateway for streaming resumable requests that reaches no instance, and another one whose instances stream cut unless resumed
    And its instances have the versions v1, v1, v1.1
    And the other gateway knows no versions
    When 20 callers send a request one after the other
    Then no stream holds events of two versions

  # Guards against streams that their callers took up at another version.
  Scenario Outline: a caller takes a stream up at another gateway
    Given a fleet of 5 gateways for streaming resumable requests whose instances stream cut later
    And the instances have the versions v1, v1, v1.1
    When 6 streams begin at g-1 and break
    And <event>
    And their callers take them up at <gateway>
    Then all streams are whole, each of one version

    Examples:
      | event                                    | gateway |
      | nothing else happens                     | g-1     |
      | nothing else happens                     | g-3     |
      | g-1 is killed                            | g-3     |
      | g-1, g-2 are stopped one after the other | g-4     |

  Scenario: streams that are under way when another version comes
    Given a fleet of 5 gateways for streaming resumable requests whose instances stream cut later
    And the lists have shown one version for as long as a stream lasts
    When 6 streams begin at g-1 and break
    And the instances have the versions v1, v1, v1.1
    And g-1 is killed
    And their callers take them up at g-2
    Then all streams are whole, each of one version

  Scenario: a gateway that stops hands over what it knows
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream cut later
    And the lists have shown one version for as long as a stream lasts
    When 3 streams begin at g-1 and break
    And g-1 is stopped
    And the instances have the versions v1, v1, v1.1
    And their callers take them up at g-3
    Then all streams are whole, each of one version

  Scenario: nobody knows a stream, and there has been one version
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream
    And the lists have shown one version for as long as a stream lasts
    When a caller takes up a stream that no gateway knows at g-2
    Then the stream goes on

  Scenario: nobody knows a stream, and there are two versions
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream
    And the lists have shown one version for as long as a stream lasts
    And the instances have the versions v1, v1, v1.1
    When a caller takes up a stream that no gateway knows at g-2
    Then it is refused as not run within 500 ms, with a time to come back
    And the log says which versions there are

  # Guards against callers that try in vain until their deadline.
  Scenario: nobody knows a stream, and no gateway is missing
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream
    And the instances have the versions v1, v1, v1.1
    And control has been heard for 4 s
    When a caller takes up a stream that no gateway knows at g-2
    Then it is refused as not run within 500 ms, with a time to come back
    And the time to come back is 20 s

  Scenario Outline: nobody knows a stream, but a gateway may be missing
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream
    And the instances have the versions v1, v1, v1.1
    And control has been heard for <heard> s
    And <event>
    When a caller takes up a stream that no gateway knows at g-2
    Then it is refused as not run within 500 ms, with a time to come back
    And the time to come back is 0.3 s

    Examples:
      | heard | event                                            |
      | 4     | g-2 hears neither control nor the other gateways |
      | 4     | g-2 does not hear control                        |
      | 2     | all are back                                     |

  Scenario: nobody knows a stream, and there were two versions
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream
    And the lists have shown one version for as long as a stream lasts
    And the instances have the versions v1, v1, v1.1
    And the instances have the versions v1, v1, v1
    When a caller takes up a stream that no gateway knows at g-2
    Then it is refused as not run within 500 ms, with a time to come back

  Scenario: a gateway that has just started asks the others
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream
    And the lists have shown one version for as long as a stream lasts
    And g-2 has just started
    When a caller takes up a stream that no gateway knows at g-2
    Then the stream goes on

  Scenario: a gateway that hears neither control nor other gateways knows nothing
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream
    And the lists have shown one version for as long as a stream lasts
    And g-2 hears neither control nor the other gateways
    When a caller takes up a stream that no gateway knows at g-2
    Then it is refused as not run within 500 ms, with a time to come back

  Scenario: a gateway that does not hear control asks the others
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream
    And the lists have shown one version for as long as a stream lasts
    And g-2 does not hear control
    When a caller takes up a stream that no gateway knows at g-2
    Then the stream goes on

  # Guards against a stream that goes on by a list that is out of date.
  Scenario: a gateway that does not hear control has an older list than others
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream
    And the lists have shown one version for as long as a stream lasts
    And g-2 does not hear control
    And the others than g-2 get a list with the versions v1, v1, v1.1
    When a caller takes up a stream that no gateway knows at g-2
    Then it is refused as not run within 500 ms, with a time to come back

  # Guards against a stream that goes on by a list that is sent late.
  Scenario: a gateway that hears control has an older list than others
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream
    And the lists have shown one version for as long as a stream lasts
    And the others than g-2 get a list with the versions v1, v1, v1.1
    When a caller takes up a stream that no gateway knows at g-2
    Then it is refused as not run within 500 ms, with a time to come back

  # Guards against a stream that goes on by what an older list says.
  Scenario: one of the gateways that are asked has an older list than others
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream
    And the lists have shown one version for as long as a stream lasts
    And g-2 has just started
    And g-1 gets a list with the versions v1, v1, v1.1
    When a caller takes up a stream that no gateway knows at g-2
    Then it is refused as not run within 500 ms, with a time to come back

  # Guards against streams that go on at any version once nobody knows theirs.
  Scenario Outline: all gateways are killed at once
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream cut later
    And the instances have the versions <before>
    When 3 streams begin at g-1 and break
    And all gateways are killed
    And they are started again while the versions are <after>
    And their callers take them up at <gateway>
    Then they are refused as not run, and no request arrived

    Examples:
      | before       | after            | gateway                  |
      | v1, v1, v1.1 | v1, v1, v1.1     | g-2                      |
      | v1, v1, v1   | v1, v1, v1.1     | g-2                      |
      | v1, v1, v1   | v1.1, v1.1, v1.1 | g-2                      |
      | v1, v1, v1.1 | v1.1, v1.1, v1.1 | g-2                      |
      | v1, v1, v1.1 | v1, v1, v1.1     | g-2, and name no request |
      | v1, v1, v1   | v1.1, v1.1, v1.1 | g-2, and name no request |

  # Guards against refusals by gateways that have all just started.
  Scenario Outline: all gateways are killed, and one version is on record
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream cut later
    And the instances have the versions v1, v1, v1
    When 3 streams begin at g-1 and break
    And all gateways are killed
    And they are started again with v1 on record while the versions are v1, v1, v1
    And their callers take them up at <gateway>
    Then all streams are whole, each of one version

    Examples:
      | gateway                  |
      | g-2                      |
      | g-2, and name no request |

  Scenario Outline: all gateways are killed, and several versions are on record
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream cut later
    And the instances have the versions <before>
    When 3 streams begin at g-1 and break
    And all gateways are killed
    And they are started again with <recorded> on record while the versions are <after>
    And their callers take them up at <gateway>
    Then they are refused as not run, and no request arrived

    Examples:
      | before       | after            | recorded   | gateway                  |
      | v1, v1, v1.1 | v1, v1, v1.1     | v1+v1.1    | g-2                      |
      | v1, v1, v1   | v1.1, v1.1, v1.1 | v1+v1.1    | g-2                      |
      | v1, v1, v1   | v1.1, v1.1, v1.1 | v1         | g-2                      |
      | v1, v1, v1   | v1, v1, v1       | earlier+v1 | g-2                      |
      | v1, v1, v1   | v1, v1, v1       | earlier    | g-2                      |
      | v1, v1, v1   | v1.1, v1.1, v1.1 | v1+v1.1    | g-2, and name no request |

  Scenario Outline: a gateway with an older list survives
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream cut later
    And the lists have shown one version for as long as a stream lasts
    And the others than g-3 get a list with the versions v1.1, v1.1, v1.1
    When 3 streams begin at g-1 and break
    And all gateways but g-3 are killed
    And they are started again while the versions are v1.1, v1.1, v1.1
    And g-3 forgets what it was told
    And their callers take them up at <gateway>
    Then they are refused as not run, and no request arrived

    Examples:
      | gateway                  |
      | g-2                      |
      | g-3                      |
      | g-2, and name no request |
      | g-3, and name no request |

  Scenario: a caller that names no request, while there is one version
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream cut later
    And the lists have shown one version for as long as a stream lasts
    When 3 streams begin at g-1 and break
    And g-1 is killed
    And their callers take them up at g-2, and name no request
    Then all streams are whole, each of one version

  # Guards against a window that is shorter than the stream.
  Scenario: a caller that waits for longer than versions are remembered
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream
    And the lists have shown one version for as long as a stream lasts
    When a caller that waits for 25 s takes up a stream that no gateway knows at g-2
    Then it is refused as not run within 500 ms, with a time to come back

  # Guards against a window that is shorter than the time since the first event.
  Scenario: a caller that has little time left of a long stream
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream
    And the route allows 25 s for a stream
    And the lists have shown one version for as long as a stream lasts
    When a caller takes up a stream that no gateway knows at g-2
    Then it is refused as not run within 500 ms, with a time to come back

  Scenario: a caller of a long stream that no list can settle
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream
    And the route allows 25 s for a stream
    And control has been heard for 19 s
    When a caller takes up a stream that no gateway knows at g-2
    Then it is refused as not run within 500 ms, with a time to come back
    And the time to come back is 20 s

  Scenario: streams of a route that allows more time than versions are remembered
    Given a fleet of 5 gateways for streaming resumable requests whose instances stream cut later
    And the route allows 25 s for a stream
    And the lists have shown one version for as long as a stream lasts
    When 3 streams begin at g-1 and break
    And g-1 is killed
    And their callers take them up at g-3
    Then all streams are whole, each of one version

  Scenario: a caller without a limit of time
    Given a fleet of 5 gateways for streaming resumable requests whose instances stream cut later
    And the instances have the versions v1, v1, v1.1
    When 3 streams without a limit of time begin at g-1 and break
    And g-1 is killed
    And their callers take them up at g-3
    Then all streams are whole, each of one version

  Scenario: the version that began a stream has no instance left
    Given a fleet of 3 gateways for streaming resumable requests whose instances stream cut later
    And the instances have the versions v1, v1, v1
    When 3 streams begin at g-1 and break
    And the instances have the versions v1.1, v1.1, v1.1
    And their callers take them up at g-2
    Then they are refused as not run, and no request arrived

  Scenario: in a large fleet, few gateways keep the records of all streams
    Given a list of 370 gateways
    When 500 streams begin at one of them
    Then at most 64 others are told, each stream two in different failure domains
    And without 20 of the gateways, most streams are still known to those that are asked first
