Feature: A gateway bounds the memory that responses without end take

  # Guards against instances in trouble that never stop sending.
  Scenario Outline: an endless <response> takes the memory of the gateway
    Given a gateway with 6 MB for responses to <kind> requests, one of whose instances sends an endless <response>
    When 40 callers send one request each
    Then each of them gets a whole <answer>
    And the memory of the gateway has grown by 30 MB at most
    And the endless responses are cut off, and the log says "<reason>"
    When 20 callers send one request each
    Then each of them gets a whole <answer>
    And no request arrived at that instance meanwhile

    Examples:
      | response      | kind                | answer | reason             |
      | head          | idempotent          | answer | a head without end |
      | interim heads | idempotent          | answer | incomplete         |
      | body          | idempotent          | answer | bytes              |
      | chunks        | idempotent          | answer | bytes              |
      | unsigned body | idempotent          | answer | bytes              |
      | failure       | idempotent          | answer | bytes              |
      | foreign body  | idempotent          | answer | bytes              |
      | event         | streaming resumable | stream | bytes              |

  Scenario: a large response is cut off while no other takes much memory
    Given a gateway with 6 MB for responses to idempotent requests, one of whose instances sends an endless body
    When 12 callers send a request for a large answer, one after the other
    Then each of them gets a whole large answer
