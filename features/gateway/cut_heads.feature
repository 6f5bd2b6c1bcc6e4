Feature: An answer that ends inside its head is no answer

  # Guards against successes with an empty or short body, framed as whole.
  Scenario Outline: instances cut an answer inside its head
    Given a gateway for all kinds of requests
    When instances cut an answer <head> at each byte of its head
    Then each caller gets the whole answer of an instance, or a failure
    And only requests that may be repeated were repeated

    Examples:
      | head                         |
      | with a length                |
      | with zeros before its length |
      | with its length last         |
      | in chunks                    |
      | in chunks, the digest first  |
      | without framing              |
      | without content              |
      | without content, of length 0 |
      | not modified                 |
      | that resets a form           |
      | without a reason             |
      | with line feeds              |
      | with a folded line           |
      | after an interim answer      |
      | after three interim answers  |
      | of a stream                  |
      | of a stream without framing  |

  Scenario Outline: an answer is cut inside its head on the way through another gateway
    Given a gateway for all kinds of requests that reaches no instance, and another one that does
    When instances cut an answer <head> at each byte of its head
    Then each caller gets the whole answer of an instance, or a failure
    And only requests that may be repeated were repeated

    Examples:
      | head                    |
      | with a length           |
      | without framing         |
      | without content         |
      | after an interim answer |
      | of a stream             |

  Scenario Outline: all attempts are cut inside the head of their answer
    Given a gateway for all kinds of requests
    When all instances cut an answer <head> at each byte of its head
    Then no caller gets more than the head of a stream
    And only requests that may be repeated were repeated

    Examples:
      | head          |
      | with a length |
      | of a stream   |

  Scenario Outline: a begun stream is resumed with an answer that is cut inside its head
    Given a gateway for all kinds of requests
    When a stream breaks off, and the next answer, <head>, is cut at each byte of its head
    Then each caller gets two events and sees that its stream broke off

    Examples:
      | head                        |
      | with a length               |
      | without content             |
      | after an interim answer     |
      | of a stream                 |
      | of a stream without framing |

  Scenario Outline: a begun stream is resumed through another gateway, with an answer that is cut inside its head
    Given a gateway for all kinds of requests that reaches no instance, and another one that does
    When a stream breaks off, and the next answer, <head>, is cut at each byte of its head
    Then each caller gets two events and sees that its stream broke off

    Examples:
      | head                        |
      | without content             |
      | of a stream without framing |

  Scenario Outline: the head of an answer ends early with a blank line, before its digest
    Given a gateway for all kinds of requests
    When instances end the head of an answer <head> early, with a blank line
    Then each caller gets the whole answer of an instance, or a failure
    And only requests that may be repeated were repeated

    Examples:
      | head                    |
      | with a length           |
      | in chunks               |
      | after an interim answer |
      | of a stream             |

  Scenario: the second answer on a kept connection is cut inside its head
    Given a gateway for non_idempotent requests and one instance
    When the instance cuts the second answer on a connection at each byte of its head
    Then the second request fails, also on the connection of the first
    And the third request is answered on another connection

  Scenario: a connection is not kept if bytes of another answer follow
    Given a gateway for non_idempotent requests and one instance
    When the instance answers and writes another head up to each of its bytes
    Then each next request is answered on another connection
