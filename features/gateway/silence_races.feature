Feature: An instance sends in the moment in which another attempt is found

  # Guards against callers that get neither an answer nor the end of their
  # connection.
  Scenario: the whole answer arrives in the moment in which it would be given up
    Given a gateway for idempotent requests whose instances answer after a pause
    When a caller sends a request, and its bytes arrive as the next attempt is found
    Then it gets 200, and 2 requests arrived
    And the answer is the complete answer of an instance

  Scenario Outline: the attempt ends in the moment in which it is given up
    Given a watch over an attempt that is silent
    When <event> as the next attempt is found
    Then the attempt ends as <outcome>

    Examples:
      | event                 | outcome   |
      | its connection breaks | given up  |
      | its answer arrives    | given up  |
      | its caller leaves     | cancelled |

  # Guards against streams that are joined from two versions.
  Scenario: the first event arrives in the moment in which its stream would be given up
    Given a gateway for streaming resumable requests whose instances begin a stream after a pause; stream
    And its instances have the versions v1, v1.1, v1.2
    When a caller sends a request, and its bytes arrive as the next attempt is found
    Then all events of the stream are of one version

  # Guards against streams that are cut in the moment in which they go on.
  Scenario: a stream goes on in the moment in which it would be given up
    Given a gateway for streaming resumable requests whose instances stream slowly after a pause; stream
    And its instances have the versions v1, v1.1, v1.2
    When a caller sends a request, and its bytes arrive as the next attempt is found
    Then the caller has every event once, in order

  Scenario: a slot and a permit are free again after an attempt that was not made
    Given a gateway for idempotent requests whose instances answer after a pause
    When a caller sends a request, and its bytes arrive as the next attempt is found
    Then no instance has a request in flight

  Scenario Outline: nothing is held after a request that ended while its next attempt was sought
    Given a gateway for idempotent requests whose instances silent
    When <event> while the next attempt is sought
    Then no instance has a request in flight
    And the instance sees the disconnect within half a second

    Examples:
      | event                         |
      | a caller leaves               |
      | the time of a request is over |

  # Guards against answers that are given up for an attempt that comes too late.
  @alone
  Scenario: the time left passes while the next attempt is prepared
    Given a gateway for idempotent requests whose instances answer after a pause
    And its instances pause for 1420 ms
    When a caller sends a request, and meanwhile connections take 850 ms
    Then it gets 200, and 1 requests arrived

  # Guards against requests on connections that their instances have closed.
  Scenario: a connection that was held and not used expires as before
    Given a gateway for idempotent requests whose instances answer
    When a connection that expires in 100 ms is held for an attempt that is not made
    Then it is not used 200 ms later
