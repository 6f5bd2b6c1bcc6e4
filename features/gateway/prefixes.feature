Feature: A prefix that an instance holds is copied, not read again

  Scenario: the first choice has answered the subject before
    Given a choice among the instances a, b, c
    When the first choice of a prompt answers it
    Then the next prompt of the subject goes there, and copies nothing

  Scenario: a newcomer takes over a place
    Given a choice among the instances a, b, c
    When the first choice of a prompt leaves, and d takes its place
    Then the next prompt of the subject goes to d, and copies from the one that leaves

  Scenario: an instance leaves, and another becomes the first choice
    Given a choice among the instances a, b, c
    When the first choice of a prompt leaves
    Then the next prompt of the subject goes to another, and copies from the one that leaves

  Scenario: the holder is gone
    Given a choice among the instances a, b, c
    When the first choice of a prompt answers it
    And it is gone
    Then the next prompt of the subject goes to another, and copies from the third

  Scenario: the holder does not answer
    Given a choice among the instances a, b, c
    When the first choice of a prompt answers it
    And it fails
    Then the next prompt of the subject goes to another, and copies from the third

  Scenario: an instance that has been leaving for long may be gone
    Given a choice among the instances a, b, c
    When the first choice of a prompt leaves
    And 3.2 seconds pass
    Then the next prompt of the subject goes to another, and copies from the third

  Scenario: a gateway that starts does not know for how long one has been leaving
    Given a choice among the instances a, b, c
    When the first choice of a prompt leaves
    And the gateway starts anew
    Then the next prompt of the subject goes to another, and copies from the third

  Scenario: an instance that failed is not copied from before it answers
    Given a choice among the instances a, b, c
    When the second choice of a prompt fails
    And 0.6 seconds pass
    Then the next prompt of the subject copies from its third choice
    When the second choice of a prompt answers another one
    Then the next prompt of the subject copies from its second choice

  Scenario: a subject that was never seen
    Given a choice among the instances a, b, c
    Then the next prompt of the subject copies from its second choice

  Scenario: what is remembered is bounded
    Given 5000 parts that were read on an instance
    Then the latest 2048 of them are remembered

  Scenario: an instance that starts again under its name holds nothing
    Given a choice among the instances a, b, c
    When the first choice of a prompt answers it
    And it fails
    And 0.6 seconds pass
    Then the next prompt of the subject goes there again, and copies from its second choice
