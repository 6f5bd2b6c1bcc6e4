Feature: What happens around an answer does not end it

  Scenario Outline: the configuration changes while an instance is silent
    Given a gateway without a retry budget for <kind> requests whose instances <step>
    When the <change> while a caller waits for its answer
    Then the caller has the whole answer of one instance

    Examples: requests that may not run twice
      | kind           | step                 | change                  |
      | non_idempotent | answer after a pause | route is removed        |
      | non_idempotent | answer after a pause | key is revoked          |
      | non_idempotent | answer after a pause | service changes         |
      | non_idempotent | answer after a pause | time limit is shortened |
      | non_idempotent | answer after a pause | idle limit is shortened |
      | non_idempotent | answer after a pause | size limits are lowered |
      | streaming      | stream with a pause  | route is removed        |
      | streaming      | stream with a pause  | key is revoked          |
      | streaming      | stream with a pause  | service changes         |
      | streaming      | stream with a pause  | time limit is shortened |
      | streaming      | stream with a pause  | idle limit is shortened |

    Examples: requests that may run twice
      | kind                | step                 | change                  |
      | idempotent          | answer after a pause | service changes         |
      | idempotent          | answer after a pause | time limit is shortened |
      | streaming resumable | stream with a pause  | service changes         |
      | streaming resumable | stream with a pause  | time limit is shortened |
      | streaming resumable | stream with a pause  | idle limit is shortened |

  Scenario Outline: an instance is left by new requests while it has one
    Given a gateway without a retry budget for <kind> requests whose instances <step>
    When its <event> while a caller waits for its answer
    Then the caller has the whole answer of one instance

    Examples:
      | kind                | step                 | event                      |
      | non_idempotent      | answer after a pause | instance is not listed     |
      | non_idempotent      | answer after a pause | instance is leaving        |
      | non_idempotent      | answer after a pause | instance asks for a rest   |
      | non_idempotent      | answer after a pause | instance refuses others    |
      | streaming           | stream with a pause  | instance is not listed     |
      | streaming           | stream with a pause  | instance is leaving        |
      | streaming           | stream with a pause  | instance asks for a rest   |
      | streaming resumable | stream with a pause  | instance is not listed     |
      | streaming resumable | stream with a pause  | instance is leaving        |
      | streaming resumable | stream with a pause  | instance asks for a rest   |
      | streaming resumable | stream with a pause  | service is listed as empty |
      | non_idempotent      | answer after a pause | service is listed as empty |

  Scenario Outline: the gateway stops while an instance is silent
    Given a gateway without a retry budget for <kind> requests whose instances <step>
    When its gateway gets SIGTERM while a caller waits for its answer
    Then the caller has the whole answer of one instance

    Examples:
      | kind                | step                 |
      | non_idempotent      | answer after a pause |
      | idempotent          | answer after a pause |
      | streaming           | stream with a pause  |
      | streaming resumable | stream with a pause  |

  Scenario Outline: the gateway stops while an instance is silent for good
    Given a gateway without a retry budget for <kind> requests whose instances <step>
    And the time limit of its route is 6000 ms
    When its gateway gets SIGTERM while a caller waits for its answer
    Then the answer ends 1.9 to 2.6 s after SIGTERM, and not as if it were whole

    Examples:
      | kind                | step            |
      | non_idempotent      | silent          |
      | streaming           | stream and wait |
      | streaming resumable | stream and wait |

  Scenario: the lease ends while an instance is silent
    Given a gateway for non_idempotent requests whose instances answer after a pause
    When its lease ends while a caller waits for its answer
    Then the caller has the whole answer of one instance

  # Guards against callers that are cut off though they would read.
  Scenario: a caller that waits for its instance is not taken for one that reads nothing
    Given a gateway that holds little, for streaming requests whose instances stream with a pause
    When its memory is short while a caller waits for its answer
    Then the caller has the whole answer of one instance

  Scenario: a request is withdrawn while another attempt is sought
    Given a gateway without a retry budget for idempotent requests whose instances silent
    And the leader bars requests with the part f, never answered, 0.6 s after one arrives
    When a request arrives whose prompt has the parts a,f,own
    Then it gets 502, and 1 requests arrived
    And it is answered as one that may have run
    And its instance sees that the connection is closed

  # Guards against answers that break because their instance reads late.
  Scenario Outline: an instance takes a body late
    Given a gateway for <kind> requests whose instances answer
    And the time limit of its route is 6000 ms
    When a caller sends a body of <size> bytes, which its instance reads after <pause> s
    Then it gets 200, and 1 requests arrived

    Examples:
      | kind           | size   | pause |
      | non_idempotent | 60000  | 3.5   |
      | non_idempotent | 900000 | 1.5   |
      | non_idempotent | 900000 | 3.5   |
