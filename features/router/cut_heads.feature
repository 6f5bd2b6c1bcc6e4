Feature: A router passes on no answer that ends inside its head

  # Guards against successes with an empty or short body, framed as whole.
  Scenario Outline: a service cuts an answer inside its head
    Given two routers, of which the second one owns all backend servers
    When a service behind router <number> cuts an answer <head> at each byte of its head
    Then each caller of a router gets a whole answer, or a failure
    And only requests without a key were repeated by the router

    Examples:
      | number | head                        |
      | 1      | with a length               |
      | 2      | with a length               |
      | 1      | without framing             |
      | 2      | without content             |
      | 1      | not modified                |
      | 1      | after three interim answers |

  # Guards against streams that end as whole with the body of another answer.
  Scenario Outline: a stream is not resumed with an answer that is no stream
    Given two routers, of which the second one owns all backend servers
    When the stream of an engine behind router <number> breaks off, and its resumption is answered with <answer>
    Then the caller of the router does not take the stream for whole

    Examples:
      | number | answer       |
      | 1      | a whole body |
      | 2      | a whole body |
      | 1      | an error     |
      | 1      | not found    |
      | 1      | no content   |

  # Guards against streams whose first events come twice.
  Scenario Outline: the stream of a service is not begun again after it broke off
    Given two routers, of which the second one owns all backend servers
    When the stream of a service behind router <number> breaks off, and the service would begin it again
    Then the caller of the router gets no event twice
    And the caller of the router does not take the stream for whole

    Examples:
      | number |
      | 1      |
      | 2      |
