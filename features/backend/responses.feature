Feature: A router takes only a whole response of a backend server for complete

  # Guards against responses taken for complete that were broken off by a reset.
  Scenario Outline: a response without a length ends with its connection
    Given a service that answers without a length and <ends> the connection
    When a router reads its answer
    Then it takes the answer for <outcome>

    Examples:
      | ends   | outcome    |
      | closes | complete   |
      | resets | incomplete |

  Scenario: a response with a length is complete whatever becomes of its connection
    Given a service that answers with a length and resets the connection
    When a router reads its answer
    Then it takes the answer for complete

  Scenario Outline: an event stream ends with an event
    Given a service that streams <body> without a length and closes the connection
    When a router reads its answer
    Then it takes the answer for <outcome>

    Examples:
      | body              | outcome    |
      | two events        | complete   |
      | one and a half    | incomplete |
      | no event          | incomplete |
