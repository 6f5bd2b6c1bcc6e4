Feature: Requests with a part that crashes instances are refused, no others

  Scenario Outline: the crashes from which on a part is blamed
    Given an empty history of crashes
    When the part f is answered <answered> seconds before
    And <crashes> instances crash under f, <apart> s apart
    Then the parts <blamed> are blamed

    Examples:
      | answered | crashes | apart | blamed |
      | 99       | 2       | 1     | -      |
      | 99       | 3       | 1     | f      |
      | 10       | 3       | 1     | -      |
      | 10       | 4       | 1     | f      |
      | 99       | 9       | 0.001 | -      |

  Scenario: an answer clears a part of the crashes before it began
    Given an empty history of crashes
    When 3 instances crash under f, 1 s apart
    And the part f is answered, by a request that began after 2 of them
    Then the parts - are blamed
    When 3 instances crash under f, 1 s apart
    Then the parts f are blamed

  Scenario: a request that began before the crashes clears nothing
    Given an empty history of crashes
    When 3 instances crash under f, 1 s apart
    And the part f is answered, by a request that began after 0 of them
    And 1 instances crash under f, 1 s apart
    Then the parts f are blamed

  Scenario: company that runs in the same requests is blamed with a part
    Given an empty history of crashes
    When 3 instances crash under a+f, 1 s apart
    Then the parts a+f are blamed
    When 1 instances crash under f+b, 1 s apart
    Then the parts f are blamed

  Scenario: parts that run beside are explained away
    Given an empty history of crashes
    When 1 instances crash under a+f; a+b; a+c, 1 s apart
    And 1 instances crash under a+f; a+c; a+d, 1 s apart
    And 1 instances crash under a+f; a+b; a+e, 1 s apart
    And 1 instances crash under a+f; a+d; a+e, 1 s apart
    And 1 instances crash under a+b; a+c; a+d, 1 s apart
    Then the parts a+f are blamed

  Scenario: a part of all requests is not blamed for crashes of its service
    Given an empty history of crashes
    When 8 instances crash under a+b; a+c; a+d; a+e, 1 s apart
    Then no blame is for a alone

  Scenario: two parts crash instances
    Given an empty history of crashes
    When 3 instances crash under a+f; a+b, 1 s apart
    And the part a is answered, by a request that began after 3 of them
    And the part b is answered, by a request that began after 3 of them
    And 3 instances crash under a+g; a+c, 1 s apart
    And the part a is answered, by a request that began after 6 of them
    And the part c is answered, by a request that began after 6 of them
    Then the parts f and g are blamed

  Scenario: a crash that several gateways report is one
    Given an empty history of crashes
    When 2 instances crash under f; a; b, 1 s apart, as 3 gateways report
    Then the parts - are blamed
    When 1 instances crash under f; a; b, 1 s apart, as 3 gateways report
    Then 3 crashes are in the history

  Scenario: a crash that the platform's list shows seconds later is one
    Given an empty history of crashes
    When 2 instances crash under f; a; b, 1 s apart, as 3 gateways report over 4 s
    Then 2 crashes are in the history
    And the parts - are blamed

  Scenario: one request that is sent again blames none of its parts
    Given an empty history of crashes
    When 3 crashes of one request with a+f, 1 s apart
    Then the parts - are blamed
    When 1 instances crash under b+f, 1 s apart
    Then the parts f are blamed

  Scenario: a frequent request that was answered explains nothing
    Given an empty history of crashes
    When 3 crashes of one request with a+f, 1 s apart
    And that request turns out to be harmless
    And 3 instances crash under b+f, 1 s apart
    Then the parts f are blamed

  Scenario: several requests with the part in each crash
    Given an empty history of crashes
    When 2 instances crash under a+f+b; a+f+c; a+e, 1 s apart
    And 2 instances crash under a+f+d; a+f+g; a+e, 1 s apart
    And 2 instances crash under a+f+h; a+f+i; a+e, 1 s apart
    And the part e is answered, by a request that began after 1 of them
    Then the parts a+f are blamed

  Scenario: a part that is blamed at a service is blamed at another at once
    Given an empty history of crashes
    When 3 instances crash under f, 1 s apart
    And 1 instances of another service crash under f
    Then requests with f are blamed at both services

  Scenario: an answer at one service says nothing about another
    Given an empty history of crashes
    When 3 instances crash under f, 1 s apart
    And the part f is answered at another service
    Then the parts f are blamed

  Scenario: a million parts, and prompts of 200 parts
    Given an empty history of crashes
    When 3 instances crash under f, 1 s apart
    And 5000 crashes of requests with 200 parts of their own are reported
    Then at most 16384 parts are in the history
    And finding the blame takes less than 100 ms

  Scenario: a barred part is tried again at most three times
    Given an empty record of parts
    When 3 crashes under f are recorded, and gateways could reply
    Then requests with f are barred
    When a permit for f is requested each second of 3 hours, and each run crashes
    Then it was tried after 60, 660 and 6660 seconds
    And requests with f are barred

  Scenario: gateways are asked before a part is barred
    Given an empty record of parts
    When 3 crashes under f are recorded
    Then requests with f are not barred
    And gateways are asked about f
    When a gateway reports that f was answered since
    And gateways could reply
    Then requests with f are not barred

  Scenario: a trial that is answered clears a part
    Given an empty record of parts
    When 3 crashes under f are recorded, and gateways could reply
    And 61 seconds pass at the leader
    And a gateway reports that f was answered since
    Then requests with f are not barred

  Scenario: a new leader keeps a part barred that only one gateway reported
    Given an empty record of parts
    When 3 crashes under f are recorded, and gateways could reply
    And a new leader loads the stored parts
    Then requests with f are barred
    When the latest of these crashes is reported to it again
    Then requests with f are barred

  Scenario: requests in flight are withdrawn if no answer to them is known
    Given an empty record of parts
    When 3 crashes under f are recorded, and gateways could reply
    Then requests with f are barred
    And those that instances have are withdrawn
    When a new leader loads the stored parts
    Then those that instances have are not withdrawn

  Scenario: requests in flight are not withdrawn if one was answered before
    Given an empty record of parts
    When 1 crashes under f are recorded
    And a gateway reports that f was answered since
    And 4 crashes under f are recorded, and gateways could reply
    Then requests with f are barred
    And those that instances have are not withdrawn

  Scenario: an operator clears a part
    Given an empty record of parts
    When 3 crashes under f are recorded, and gateways could reply
    And an operator clears f
    Then requests with f are not barred
    When 2 crashes under f are recorded, and gateways could reply
    Then requests with f are not barred

  Scenario: a caller has the parts of others blamed
    Given an empty record of parts
    When 1 crashes under v+w are recorded
    And 1 crashes under v+x are recorded
    And 1 crashes under v+y are recorded
    And gateways could reply
    Then requests with v are barred
    When a gateway reports that v was answered since
    Then requests with v are not barred

  Scenario Outline: requests with a fatal part among others
    Given a fleet whose requests have <load>
    When it is simulated with 8 seeds
    Then requests with a fatal part crash <crashes> instances at most, <mean> on average
    And at most <late> of them arrive 3 seconds after the fifth crash
    And at most <refused> in 1000 other requests are refused
    And at least <served> in 100 others are served at first, 9 seconds later

    Examples: positions of the part
      | load                                  | crashes | mean | late | refused | served |
      | the fatal part first                  | 6       | 6    | 3    | 5       | 90     |
      | it in the middle                      | 6       | 6    | 3    | 5       | 90     |
      | it second to last                     | 6       | 6    | 3    | 5       | 90     |
      | it behind a first part of few         | 6       | 6    | 3    | 5       | 90     |
      | it behind varying first parts         | 6       | 6    | 3    | 5       | 90     |

    Examples: other conditions
      | load                                  | crashes | mean | late | refused | served |
      | it rarely                             | 7       | 6    | 3    | 5       | 90     |
      | it, harmless for 12 seconds           | 10      | 8    | 3    | 5       | 90     |
      | it, and a crash every 2.5 s           | 8       | 7    | 3    | 10      | 70     |
      | it, and crashes of 0.34 every 5 s     | 10      | 7    | 3    | 10      | 70     |
      | it, and 48 instances                  | 20      | 12   | 3    | 5       | 90     |

  Scenario: requests that wait when their part is barred crash few instances
    Given a fleet whose requests have it in the middle
    When it is simulated with 8 seeds
    Then at most 3 instances crash in all after the part is barred

  Scenario Outline: no part is blamed for long if none is fatal
    Given a fleet whose requests have <load>
    When it is simulated with 8 seeds
    Then at most <refused> in 1000 other requests are refused

    Examples:
      | load                                  | refused |
      | no fatal part, and a crash every 2.5 s | 1      |
      | none, and crashes of 0.34 every 2 s   | 10      |
      | none, 48 instances, a third crashes   | 1       |
