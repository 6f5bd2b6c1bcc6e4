Feature: Callers and instances that read slowly cost a bounded amount of memory

  Scenario Outline: what callers do not read is held once, and counted
    Given a gateway with 256 MB for <kind> requests whose instances <step>
    When 8 callers send a request and read nothing
    Then the gateway holds at most <most> MB, which the account tells

    Examples:
      | kind       | step         | most |
      | idempotent | large answer | 33   |
      | streaming  | long stream  | 1    |

  Scenario: answers are passed on unfinished while memory is short
    Given a gateway with 12 MB for idempotent requests whose instances large answer
    When 20 callers send a request and read nothing
    Then the gateway holds at most 17 MB, which the account tells
    When they read on
    Then all of them get the whole large answer

  Scenario: an answer that was passed on unfinished is not repeated
    Given a gateway with 4 MB for idempotent requests whose instances large answer; large answer cut; large answer
    When a caller reads nothing of an answer
    And a caller sends a request
    Then its answer is visibly incomplete, and 2 requests arrived

  Scenario: a whole answer is repeated while memory is not short
    Given a gateway with 256 MB for idempotent requests whose instances large answer cut; answer
    When a caller sends a request
    Then the answer is the complete answer of an instance

  Scenario: large bodies are refused first, as not run
    Given a gateway with 12 MB for idempotent requests whose instances large answer; large answer; answer
    When 2 callers send a request and read nothing
    And a caller sends a body of 2000000 bytes
    Then it gets 429, and 2 requests arrived
    And its error has "ran" set to False
    And it has a Retry-After
    When a caller sends a body of 1000 bytes
    Then it gets 200, and 3 requests arrived

  Scenario: a refused body that arrives at once does not run
    Given a gateway with 12 MB for idempotent requests whose instances large answer; large answer; answer
    When 2 callers send a request and read nothing
    And a caller sends a body of 100000 bytes
    Then it gets 429, and 2 requests arrived

  Scenario: a body of unknown length is refused as it grows
    Given a gateway with 12 MB for idempotent requests whose instances large answer; large answer; answer
    When 2 callers send a request and read nothing
    And a caller sends a body of 2000000 bytes in chunks
    Then it gets 429, and 2 requests arrived

  Scenario: a body that is larger than the memory is served alone
    Given a gateway with 1 MB for idempotent requests whose instances answer
    When a caller sends a body of 3000000 bytes
    Then it gets 200, and 1 requests arrived
    And nothing is held any more

  Scenario: a caller that reads nothing is cut off
    Given a gateway with 256 MB for streaming requests whose instances long stream
    When a caller reads nothing of an answer
    And callers that read nothing are checked after 29 seconds
    Then 0 callers are cut off
    When callers that read nothing are checked after 31 seconds
    Then 1 callers are cut off
    And nothing is held any more

  Scenario: a caller that reads slowly is kept
    Given a gateway with 256 MB for streaming requests whose instances long stream
    And callers that read nothing for 0.8 seconds are cut off
    When a caller reads nothing of an answer
    And that caller takes 60000 bytes, 12 times in 2.4 seconds
    Then 0 callers are cut off
    When 1.8 seconds pass at the gateway
    Then 1 callers are cut off

  # Callers that left a stream that they did not read made gateways avoid its
  # instance, and a stream was broken off as silent while its caller read slowly.
  Scenario: a caller leaves a stream that it does not read
    Given a gateway with 256 MB for streaming requests whose instances long stream
    When 4 callers send a request and read nothing
    And they leave
    Then no attempt has failed, and nothing is held any more

  Scenario: an instance is not silent while the caller does not read
    Given a gateway with 256 MB for streaming resumable requests whose instances long stream
    When a caller reads nothing of an answer
    And 1 seconds pass at the gateway
    Then no attempt has failed, and 1 requests arrived
