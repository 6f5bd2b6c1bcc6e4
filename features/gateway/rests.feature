Feature: An instance that asks for rest gets it

  # Two of six engines turned requests away with 503 and asked for 3 s of rest.
  # Nobody read that: a rejection was a matter of the one request, and the
  # instance stayed the first choice for its prefixes, the better the less ran
  # there. In 5.5 s the two got 80 requests from nine gateways, up to four from
  # one gateway in one rest; 38 callers were refused with their rejections,
  # since the allowance for further offers was spent, while four engines beside
  # them answered all that they got:
  #
  #     6.05  rest asked for by i-3b99d073b9, from edge-sala-heredia-1
  #     7.20  attempt_failed  i-3b99d073b9 HP-3205 "status 503" offers 1
  #     7.22  attempt_failed  i-3b99d073b9 HP-3205 "status 503" offers 1
  #     7.68  attempt_failed  i-3b99d073b9 HP-3205 "status 503" offers 1
  #     7.68  request_refused i-3b99d073b9 rank 0 load 0 bound 9.7 usable 6
  #     7.75  request_refused i-3b99d073b9 rank 0 load 0 bound 9.4 usable 6

  Scenario: two of four instances ask for rest
    Given a gateway with 4 instances and an allowance of 6 more offers
    And the instances i-1 and i-2 rest for 4
    When 25 requests a second reach the gateway for 3 seconds
    Then the log says once of each of 2 rests who asked for 4 s
    And the log says of each arrival in a rest that it went there
    And nothing reaches an instance while it rests
    And all callers were served

  Scenario: all instances of a service ask for rest
    Given a gateway with 4 instances and an allowance of 6 more offers
    And all instances rest for 4
    When 25 requests a second reach the gateway for 3 seconds
    Then nothing reaches an instance while it rests
    And who was refused was told when the rest ends, within 50 ms

  Scenario: an instance says that it leaves while the list says ready
    Given a gateway with 4 instances and an allowance of 6 more offers
    And the instances i-1 and i-2 say in their answers that they leave
    When 25 requests a second reach the gateway for 5 seconds
    Then nothing reaches an instance 3 seconds after it said that it leaves
    And all callers were served

  Scenario: instances that turn away with 429 name a time, too
    Given a gateway with 4 instances and an allowance of 6 more offers
    And the instances i-1 and i-2 slow down for 4
    When 25 requests a second reach the gateway for 2 seconds
    Then nothing reaches an instance while it rests
    And all callers were served

  Scenario: a new list and a new configuration end no rest
    Given a gateway with 4 instances and an allowance of 6 more offers
    And the instances i-1 and i-2 rest for 5
    When 25 requests a second reach the gateway for 1 seconds
    And the list of instances and the configuration come anew
    And 25 requests a second reach the gateway for 2 seconds
    Then nothing reaches an instance while it rests
    And all callers were served

  Scenario: requests wait for a connection to an instance that asks for rest
    Given a gateway with 1 instances and an allowance of 6 more offers
    And the instances i-1 rest for 4
    When 8 requests wait 200 ms for a connection, and one before them does not
    Then 1 request has reached an instance

  Scenario Outline: an instance says in any answer that it leaves
    Given a gateway with 4 instances and an allowance of 6 more offers
    And the instances i-1 and i-2 say that they leave and <answer>
    When 25 requests a second reach the gateway for 2 seconds
    Then nothing reaches an instance 1 seconds after it said that it leaves

    Examples:
      | answer      |
      | answer      |
      | stream      |
      | fail        |
      | not run     |
      | misdirected |

  Scenario: all instances of a service say that they leave
    Given a gateway with 4 instances and an allowance of 6 more offers
    And all instances say that they leave and answer
    When 25 requests a second reach the gateway for 3 seconds
    Then nothing reaches an instance 2 seconds after it said that it leaves
    And whoever came in the first 900 ms was served

  Scenario: a gateway tells which instances asked it for rest
    Given a gateway with 4 instances and an allowance of 6 more offers
    And the instances i-1 and i-2 rest for 2
    When 25 requests a second reach the gateway for 1 seconds
    Then its reports name i-1 and i-2 as resting
    When 3 seconds pass at the gateway
    Then its reports name nothing as resting
