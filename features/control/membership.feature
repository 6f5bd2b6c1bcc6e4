Feature: The control group replaces members that are lost

  # Guards against a new member counting as silent for longer than it is one.
  Scenario: a voter is removed although its replacement does not answer
    Given a group of 3 replicas that replaces lost members
    When a follower is lost for good and its replacement does not answer
    Then the lost follower is a member for 2 seconds
    When the links are restored
    Then 3 running replicas vote, and no other is a member, within 10 seconds
