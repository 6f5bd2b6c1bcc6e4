Feature: A cached prefix is copied instead of computed again

  Scenario: the first choice has already answered the subject
    Given a balancer with the instances a, b, c
    When the first choice of a prompt answers it
    Then the next prompt of the subject goes there, and copies nothing

  Scenario: a new instance takes over a place
    Given a balancer with the instances a, b, c
    When the first choice of a prompt leaves, and d takes its place
    Then the next prompt of the subject goes to d, and copies from the one that leaves

  Scenario: an instance leaves, and another becomes the first choice
    Given a balancer with the instances a, b, c
    When the first choice of a prompt leaves
    Then the next prompt of the subject goes to another, and copies from the one that leaves

  Scenario: the instance that cached the prefix is gone
    Given a balancer with the instances a, b, c
    When the first choice of a prompt answers it
    And it is gone
    Then the next prompt of the subject goes to another, and copies from the third

  Scenario: the instance that cached the prefix fails
    Given a balancer with the instances a, b, c
    When the first choice of a prompt answers it
    And it fails
    Then the next prompt of the subject goes to another, and copies from the third

  Scenario: an instance that has been leaving for long is not copied from
    Given a balancer with the instances a, b, c
    When the first choice of a prompt leaves
    And 3.2 seconds pass
    Then the next prompt of the subject goes to another, and copies from the third

  Scenario: a restarted gateway does not copy from a leaving instance
    Given a balancer with the instances a, b, c
    When the first choice of a prompt leaves
    And the gateway restarts
    Then the next prompt of the subject goes to another, and copies from the third

  Scenario: a failed instance is not copied from before it answers
    Given a balancer with the instances a, b, c
    When the second choice of a prompt fails
    And 0.6 seconds pass
    Then the next prompt of the subject copies from its third choice
    When the second choice of a prompt answers another prompt
    Then the next prompt of the subject copies from its second choice

  Scenario: an unknown subject
    Given a balancer with the instances a, b, c
    Then the next prompt of the subject copies from its second choice

  Scenario: the number of remembered parts is bounded
    Given 5000 parts that were cached on an instance
    Then the latest 2048 of them are remembered

  Scenario: a restarted instance is not assumed to have cached prefixes
    Given a balancer with the instances a, b, c
    When the first choice of a prompt answers it
    And it fails
    And 0.6 seconds pass
    Then the next prompt of the subject goes there again, and copies from its second choice
