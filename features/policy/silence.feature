Feature: A silent instance is left only for an attempt that can follow

  Scenario Outline: an obstacle keeps a silent attempt
    Given a silent instance among others that are sending
    When it turns out that <change>
    Then the attempt goes on, as <obstacle>

    Examples:
      | change                                           | obstacle                |
      | its route allows no other run                    | not_repeatable          |
      | it may crash its instance | may_crash_instances |
      | another gateway makes the attempt                 | other_gateway_decides |
      | it may be offered to no other instance           | no_offers_left          |
      | the budget allows no retry                       | no_budget_left          |
      | less time is left than the route aims at         | no_time_left            |
      | no other instance is sending, and most are mute  | all_silent              |
      | all were silent before                           | just_resumed            |

  Scenario Outline: who is silent together
    Given a silent instance among <others> others
    When <mute> of them are mute, and <heard> are sending
    Then the attempt <decision>

    Examples:
      | others | mute | heard | decision               |
      | 7      | 0    | 0     | may be left            |
      | 7      | 3    | 0     | may be left            |
      | 7      | 4    | 0     | goes on, as all_silent |
      | 7      | 7    | 0     | goes on, as all_silent |
      | 7      | 6    | 1     | may be left            |
      | 0      | 0    | 0     | may be left            |

  Scenario Outline: which instances are chosen first
    Given the other instances i-2, i-3, i-4
    When <mute> are silent, <heard> are sending and <full> are full
    Then they are chosen in this order: <order>

    Examples:
      | mute          | heard    | full          | order             |
      | none          | none     | none          | i-2 i-3 i-4       |
      | i-2           | none     | none          | i-3 i-4           |
      | none          | i-3      | none          | i-3, i-2 i-3 i-4  |
      | i-2           | i-3      | none          | i-3, i-3 i-4      |
      | i-2           | i-3      | i-3           | i-3, i-4, i-3 i-4 |
      | none          | i-3, i-4 | i-3           | i-4, i-3 i-4, i-2 i-4, i-2 i-3 i-4 |
      | i-2, i-3, i-4 | none     | none          | none              |

  Scenario: an attempt is left only in a situation without obstacles
    Then in every situation an attempt is left only if the next one can follow

  Scenario: an instance is at fault only if its silence is its own
    Then in every situation an instance is at fault only if its silence is its own

  Scenario Outline: which instances are mute or heard
    Given requests at i-1 and i-2 since 0.0 s that may be quiet for 0.5 s
    When the one at i-1 brings bytes at <times> s
    Then at 1.0 s <mute> are mute and <heard> are heard

    Examples:
      | times     | mute     | heard |
      | 0.1       | i-1, i-2 | none  |
      | 0.1, 0.6  | i-2      | i-1   |

  # Guards against instances that seem to be silent, as they run long requests.
  Scenario: an instance is not mute while one of its requests may be quiet
    Given requests at i-1 and i-2 since 0.0 s that may be quiet for 0.5 s
    And another request at i-1 since 0.0 s that may be quiet for 2.0 s
    Then at 1.0 s i-2 are mute and none are heard

  Scenario: an instance without requests is neither mute nor heard
    Given requests at i-1 and i-2 since 0.0 s that may be quiet for 0.5 s
    When they end
    Then at 1.0 s none are mute and none are heard

  Scenario: instances that are gone are forgotten once their requests have ended
    Given requests at i-1 and i-2 since 0.0 s that may be quiet for 0.5 s
    When none of them is listed
    Then at 1.0 s i-1, i-2 are mute and none are heard
    When they end
    And none of them is listed
    Then no instance is remembered
