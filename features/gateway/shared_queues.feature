Feature: Gateways that share few slots have one queue for them

  Scenario Outline: the keeper of the queue fails
    When <failure> while callers send requests
    Then no two gateways grant slots at the same time
    And no instance gets more granted requests than its slots and one more
    And every request is served, none after more than 350 ms in a queue
    And slots are granted in the end, and no request is left over

    Examples:
      | failure                                                     |
      | the keeper is killed                                        |
      | the keeper is frozen and listed no more                     |
      | the keeper is frozen for half a second                      |
      | the keeper is frozen for two seconds and listed again       |
      | the keeper is cut off from control, which lists another at once |
      | the keeper is replaced, and learns it last                  |
      | the leader is lost for two seconds                          |
      | a gateway starts that becomes the keeper                    |
      | all gateways are lost and start again                       |

  Scenario: the keeper is cut off from the other gateways
    When the keeper is cut off from the other gateways while callers send requests
    Then no two gateways grant slots at the same time
    And no instance gets more granted requests than its slots and one more
    And slots are granted in the end, and no request is left over

  Scenario Outline: a failure elsewhere does not disturb the counts
    When <failure> while callers send requests
    Then no two gateways grant slots at the same time
    And no instance gets more requests than its slots and one more
    And slots are granted in the end, and no request is left over

    Examples:
      | failure                                |
      | a gateway that holds slots is killed   |
      | an instance is lost                    |
      | an instance is listed no more          |

  Scenario Outline: a keeper knows of requests that it did not grant itself
    When <failure> while requests run for seconds
    Then the keeper counts each of them once

    Examples:
      | failure                               |
      | the keeper is killed                  |
      | the keeper is replaced, and learns it last |
      | all links between gateways are lost   |
      | a gateway is missing from one list    |
      | the leader is lost for two seconds    |

  Scenario: the keeper refuses requests beyond its bound at once
    Given a keeper whose queue is full
    When a gateway asks it for a slot
    Then the request is refused at once as not run, with a time to come back

  Scenario Outline: few slots serve more requests in time with a queue
    When callers of 83 gateways send <load> of what the slots run, with and without a queue
    Then at least <more> more of them are in time with a queue

    Examples:
      | load | more |
      | 0.8  | 0.03 |

  Scenario Outline: reported slowdowns switch shared queues on
    Given 83 gateways that share queues <when> before few slots
    When an instance reports the load "<load>" to each
    Then <number> of them know a keeper

    Examples:
      | when                         | load       | number |
      | if instances report slowdown | 1,0,6,130  | 83     |
      | if instances report slowdown | 1,0,6      | 0      |
      | if instances report slowdown | 1,0,6,fast | 0      |
      | never                        | 1,0,6,130  | 0      |

  Scenario: gateways with enough slots share no queue
    When callers of 10 gateways send 0.8 of what the slots run, with and without a queue
    Then no gateway asks another one for a slot

  Scenario: a gateway without requests sends nothing
    When no caller sends anything to 83 gateways
    Then no gateway asks another one for a slot

  Scenario: real gateways share the only slots of a service
    Given three gateways before one instance with two slots
    When 12 requests arrive at all gateways at once
    Then each is answered, or refused as not run and has not arrived
    And the instance never has more than 3 at once

  Scenario: the keeper among real gateways is killed
    Given three gateways before one instance with two slots
    When 12 requests arrive at all gateways at once
    And the keeper is killed
    And 12 requests arrive at the other gateways at once
    Then each is answered, or refused as not run and has not arrived
    And the last ones were sent without a keeper, at once

  Scenario: a caller that leaves a queue of real gateways takes no slot
    Given three gateways before one instance with two slots
    When callers leave while their requests wait
    Then the slots are free, and their requests have not arrived
