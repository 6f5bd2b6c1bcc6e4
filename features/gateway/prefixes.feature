Feature: A cached prefix is copied instead of computed again

  Scenario: the first choice has cached the prefix
    Given a balancer with the instances a, b, c
    When the first choice of a prompt answers it
    Then the next prompt of the subject goes to the same instance, and copies nothing

  Scenario: a new instance takes over the place of a leaving one
    Given a balancer with the instances a, b, c
    When the first choice of a prompt leaves, and d takes its place
    Then the next prompt of the subject goes to d, and copies from the leaving one

  Scenario: an instance leaves, and another becomes the first choice
    Given a balancer with the instances a, b, c
    When the first choice of a prompt leaves
    Then the next prompt of the subject goes to another instance, and copies from the leaving one

  Scenario: the instance that cached the prefix is no longer listed
    Given a balancer with the instances a, b, c
    When the first choice of a prompt answers it
    And it is no longer listed
    Then the next prompt of the subject goes to another instance, and copies from the third

  Scenario: the instance that cached the prefix fails
    Given a balancer with the instances a, b, c
    When the first choice of a prompt answers it
    And it fails
    Then the next prompt of the subject goes to another instance, and copies from the third

  Scenario: an instance that has been leaving for more than 3 seconds is not copied from
    Given a balancer with the instances a, b, c
    When the first choice of a prompt leaves
    And 3.2 seconds pass
    Then the next prompt of the subject goes to another instance, and copies from the third

  Scenario: a restarted gateway does not copy from a leaving instance
    Given a balancer with the instances a, b, c
    When the first choice of a prompt leaves
    And the gateway restarts
    Then the next prompt of the subject goes to another instance, and copies from the third

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
    Then the next prompt of the subject goes to the same instance, and copies from its second choice
