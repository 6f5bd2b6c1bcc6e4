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

  # Guards against successes with an empty or short body, framed as whole.
  Scenario Outline: a response that ends inside its head is no response
    Given a router with <server> behind it
    When it cuts a response <head> at each byte of its head
    Then the router takes no response for complete that is not whole
    And it has seen no head but that of the response

    Examples:
      | server    | head                        |
      | a service | with a length               |
      | a service | in chunks                   |
      | a service | without framing             |
      | a service | without content             |
      | a service | not modified                |
      | a service | without a reason            |
      | a service | with line feeds             |
      | a service | with a folded line          |
      | a service | after three interim answers |
      | a service | of a stream                 |
      | a service | of a stream without framing |
      | an engine | with a length               |
      | an engine | after three interim answers |
      | an engine | of a stream                 |
      | an engine | of a stream without framing |

  # Guards against an answer made of bytes that belong to no request.
  Scenario Outline: a connection is not kept if bytes of another response follow
    Given a router with <server> behind it
    When it writes bytes of another response after a whole one
    Then the next request is answered on another connection

    Examples:
      | server    |
      | a service |
      | an engine |
