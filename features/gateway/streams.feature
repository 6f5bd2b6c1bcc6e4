Feature: A stream reaches its caller complete or visibly broken

  Scenario: a complete stream
    Given a gateway for streaming requests whose instances stream
    When a caller sends a request
    Then the caller has every event once, in order

  Scenario: a broken stream is resumed on another instance
    Given a gateway for streaming resumable requests whose instances stream cut; stream
    When a caller sends a request
    Then it gets 200, and 2 requests arrived
    And the caller has every event once, in order

  Scenario: a stream whose instance stops sending is resumed on another instance
    Given a gateway for streaming resumable requests whose instances stream and wait; stream
    When a caller sends a request
    Then it gets 200, and 2 requests arrived
    And the caller has every event once, in order
    And the instance sees the disconnect within half a second

  Scenario: a stream that may not be resumed is cut
    Given a gateway for streaming requests whose instances stream cut; stream
    When a caller sends a request
    Then it gets 200, and 1 requests arrived
    And the caller sees that the answer is incomplete

  # Guards against streams passed on as complete whose connection broke.
  Scenario Outline: a stream that ends inside an event is not passed on as complete
    Given a gateway for streaming requests whose instances <framing> stream <ending>
    When a caller sends a request
    Then it gets 200, and 1 requests arrived
    And the caller sees that the answer is incomplete
    And the caller has only whole events

    Examples:
      | framing  | ending               |
      | unframed | ended in an event    |
      | chunked  | ended in an event    |
      | sized    | ended in an event    |
      | unframed | ended in a separator |
      | chunked  | ended in a separator |
      | unframed | ended in a comment   |
      | unframed | without events       |
      | chunked  | without events       |

  Scenario Outline: a stream that ends inside an event is resumed after its last whole event
    Given a gateway for streaming resumable requests whose instances <framing> stream <ending>; stream
    When a caller sends a request
    Then it gets 200, and 2 requests arrived
    And the caller has every event once, in order

    Examples:
      | framing  | ending               |
      | unframed | ended in an event    |
      | chunked  | ended in an event    |
      | sized    | ended in an event    |
      | unframed | ended in a separator |
      | unframed | without events       |
      | chunked  | without events       |

  Scenario: the second instance breaks off the stream, too
    Given a gateway for streaming resumable requests whose instances unframed stream ended in an event
    When a caller sends a request
    Then it gets 200, and 2 requests arrived
    And the caller sees that the answer is incomplete
    And the caller has only whole events

  Scenario Outline: a whole stream is served as complete
    Given a gateway for streaming requests whose instances <framing> stream <ending>
    When a caller sends a request
    Then the caller has every event once, in order
    And it is answered within 500 ms

    Examples:
      | framing  | ending              |
      | unframed | whole               |
      | chunked  | whole               |
      | sized    | whole               |
      | unframed | with a last comment |

  # Guards against the head of another answer inside the body of a stream.
  Scenario Outline: a begun stream does not go on with an answer that is no stream
    Given a gateway for streaming resumable requests whose instances stream cut later; <answer>
    When a caller sends a request
    Then it gets 200, and 2 requests arrived
    And the caller sees that the answer is incomplete
    And the caller has only whole events

    Examples:
      | answer       |
      | answer       |
      | large answer |
      | no content   |
      | not found    |
      | fail         |
      | unsigned     |

  # Guards against streams passed on as complete whose instance closed the
  # connection after the head.
  Scenario: a begun stream does not end with an answer that has neither events nor framing
    Given a gateway for streaming resumable requests whose instances stream cut later; unframed stream without events
    When a caller sends a request
    Then it gets 200, and 2 requests arrived
    And the caller sees that the answer is incomplete
    And the caller has only whole events

  # An instance has nothing left to send if only the end of its stream was lost.
  Scenario: a stream that is resumed after its last event is complete without more events
    Given a gateway for streaming resumable requests whose instances unframed stream ended after its last event; chunked stream whole
    When a caller sends a request
    Then it gets 200, and 2 requests arrived
    And the caller has every event once, in order

  Scenario: an instance that ends its stream inside an event counts as lost
    Given a gateway for streaming requests whose instances unframed stream ended in an event
    When a caller sends a request
    Then the failed attempt is logged as HP-3008

  Scenario Outline: the connection of a stream without an end is not kept
    Given a gateway for streaming requests whose instances <step>
    When a caller sends 6 requests in sequence
    Then every request came on its own connection

    Examples:
      | step                             |
      | unframed stream whole            |
      | chunked stream ended in an event |

  # Without chunks, only a reset differs from the end of a whole stream.
  Scenario Outline: a caller of HTTP/1.0 can tell whether its stream is whole
    Given a gateway for streaming requests whose instances <step>
    When a caller of HTTP/1.0 that <habit> connections sends a request
    Then its connection is <ended> after <count> events

    Examples:
      | step                             | habit  | ended  | count |
      | stream                           | closes | closed | 6     |
      | stream                           | keeps  | closed | 6     |
      | unframed stream whole            | closes | closed | 6     |
      | stream cut                       | closes | reset  | 2     |
      | unframed stream ended in an event | keeps  | reset  | 2     |

  Scenario Outline: events are found with any line ends, wherever reads split them
    Given a stream of events whose lines end with <ends>
    When it is split at random places
    Then all events are whole, and no cut stream is taken for a whole one

    Examples:
      | ends         |
      | LF           |
      | CRLF         |
      | CR           |
      | LF and CRLF  |

  Scenario: a stream that outlasts its route's timeout is cut
    Given a gateway for streaming requests whose instances stream and wait
    When a caller sends a request
    Then the caller sees that the answer is incomplete

  # Guards against the head of another answer inside a stream.
  Scenario: a begun stream does not go on with a large answer while memory is short
    Given a gateway that holds little, for streaming resumable requests whose instances stream cut; large answer
    When a caller sends a request
    Then the caller sees that the answer is incomplete
    And the caller has only whole events

  Scenario Outline: the disconnect of a caller reaches its instance at once
    Given a gateway for <kind> requests whose instances <steps>
    When a caller disconnects while its request runs
    Then the instance sees the disconnect within half a second

    Examples:
      | kind           | steps           |
      | streaming      | stream and wait |
      | streaming      | silent          |
      | non_idempotent | silent          |
