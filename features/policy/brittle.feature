Feature: Brittle instances get no more requests than they have slots

  # Guards against a burst under which most instances of a service crash, since
  # every gateway sends to instances that are full.
  Scenario Outline: a burst reaches instances that crash if they reject too many
    Given <gateways> gateways before <instances> instances with <slots> slots and a queue of <queue>
    And an instance crashes if it rejects more than <tolerated> requests within one second
    When <overload> times as many requests arrive as the instances can run in <duration> s each
    Then at most 2 and a tenth of the instances crash
    And at least <used> of the capacity is used

    Examples: fleets and requests
      | gateways | instances | slots | queue | tolerated | overload | duration | used |
      | 8        | 20        | 8     | 1     | 4         | 1.7      | 0.4      | 0.8  |
      | 8        | 10        | 8     | 1     | 4         | 1.7      | 0.08     | 0.8  |
      | 8        | 20        | 8     | 1     | 4         | 1.7      | 3.0      | 0.8  |
      | 8        | 20        | 8     | 0     | 0         | 1.7      | 0.4      | 0.8  |
      | 8        | 6         | 4     | 0     | 2         | 1.7      | 0.4      | 0.8  |
      | 8        | 20        | 8     | 0     | 4         | 3.0      | 0.4      | 0.8  |
      | 40       | 20        | 8     | 0     | 4         | 1.7      | 0.4      | 0.8  |
      | 83       | 20        | 8     | 1     | 3         | 1.7      | 1.0      | 0.8  |

  # Guards against instances whose memory is full before all their slots are in
  # use, and that reject what their slots seem to allow.
  Scenario Outline: brittle instances run fewer requests than they have slots
    Given 8 gateways before 20 instances with <slots> slots and a queue of <queue>
    And an instance crashes if it rejects more than <tolerated> requests within one second
    And the memory of an instance has room for <room> requests, and <reports> reports its load
    When 1.7 times as many requests arrive as the instances can run in <duration> s each
    Then at most 2 and a tenth of the instances crash
    And at least 0.8 of the capacity is used

    Examples:
      | slots | room | queue | tolerated | reports | duration |
      | 8     | 5    | 2     | 4         | nobody  | 0.4      |
      | 24    | 16   | 6     | 3         | it      | 1.0      |
      | 64    | 40   | 8     | 10        | it      | 2.0      |
      | 64    | 40   | 0     | 10        | it      | 2.0      |

  Scenario: less arrives than brittle instances can run
    Given 8 gateways before 20 instances with 8 slots and a queue of 1
    And an instance crashes if it rejects more than 4 requests within one second
    When 0.6 times as many requests arrive as the instances can run in 0.4 s each
    Then at most 0 and a tenth of the instances crash
    And 0.99 of the requests are served, and at most 0.01 of them are refused before
