Feature: The control group replaces members that are lost

  # Guards against a new member counting as silent for longer than it is one.
  Scenario: a voter is removed although its replacement does not answer
    Given a group of 3 replicas that replaces lost members
    When a follower is lost for good and its replacement does not answer
    Then the lost follower is a member for 20 seconds
    When the links are restored
    Then 3 running replicas vote, and no other is a member, within 10 seconds

  # Guards against a replica that is added beside one that could not answer yet.
  Scenario: a second replacement is added before the first one could answer
    Given a group of 3 replicas that replaces lost members
    When a follower is lost for good, and the first of two replacements answers 2 seconds late
    Then 3 running replicas vote, and no other is a member, within 10 seconds
    And the second replacement was never a member

  # Guards against a lost learner that blocks every further change.
  Scenario Outline: a learner that is lost for good ends the control group
    Given a group of <size> replicas that replaces lost members
    When <learner> is lost for good while it is a learner
    And a new replica starts 2 seconds later
    Then <size> running replicas vote, and no other is a member, within 10 seconds
    When a follower is lost for good
    And a new replica starts 2 seconds later
    Then a change is acknowledged
    And <size> running replicas vote, and no other is a member, within 10 seconds

    Examples:
      | size | learner                            |
      | 3    | a follower that lost its disk      |
      | 5    | a follower that lost its disk      |
      | 3    | the replacement of a lost follower |
      | 5    | the replacement of a lost follower |

  # Guards against members whose state leaves the leader no change to make.
  Scenario Outline: a group of any state does not return to its target size
    Then from every state of a group of <size>, planned changes lead to <size> voters
    And no planned change removes a voter that answers
    And no vote is added that only the new voter can confirm

    Examples:
      | size |
      | 3    |
      | 5    |

  # Guards against a vote that only the new member itself can confirm.
  Scenario Outline: a replacement that is lost as it gets its vote ends the control group
    Given a group of <size> replicas that replaces lost members
    When a follower is lost for good and its replacement as soon as it may vote
    And a new replica starts 2 seconds later
    Then <size> running replicas vote, and no other is a member, within 10 seconds
    And a change is acknowledged

    Examples:
      | size |
      | 3    |
      | 5    |

  # Guards against a learner that is behind by what is committed meanwhile.
  Scenario: a distant learner does not vote while changes come without pause
    Given a group of 3 replicas that replaces lost members
    When 20 clients change the log without pause
    And a follower restarts with an empty disk, 50 ms farther away
    Then 3 running replicas vote, and no other is a member, within 5 seconds

  # Guards against the state of a removed member that its successor inherits.
  Scenario: a replica that is added again is as silent as it was before
    Given a group of 3 replicas whose members stay as they are
    When a follower is lost for 10 seconds, removed, and added with an empty disk
    Then it counts as silent only since it was added

  # Guards against a moment of a replacement in which a further loss is final.
  Scenario Outline: the replacement of a member is lost at any moment
    When <count> random histories of <size> replicas are run, with lost replacements
    Then each loss was followed by <size> voters, and no change was lost

    Examples:
      | size | count |
      | 3    | 12    |
      | 5    | 5     |
