Feature: The lines of a request tell why its answer was broken off

  Scenario Outline: a request that is not repeated
    Given <gateway> for <kind> requests whose instances <steps>
    When a caller sends a request, and its lines are kept
    Then its last line tells that no attempt followed, as <reason>
    And the failed attempt tells how many instances could have taken it

    Examples:
      | gateway                        | kind                | steps            | reason         |
      | a gateway without a retry budget | streaming resumable | stream cut       | no_budget_left |
      | a gateway                      | streaming           | stream cut       | not_repeatable |
      | a gateway                      | streaming resumable | stream cut       | not_repeatable |
      | a gateway                      | non_idempotent      | reset            | not_repeatable |

  Scenario: the silence of an instance is logged
    Given a gateway for idempotent requests whose instances silent
    When a caller sends a request, and its lines are kept
    Then the failed attempt tells that the instance was silent for 500 to 900 ms
