Feature: Long and short prompts have instances of their own

  Background:
    Given a gateway with 20 instances, 60 of 200 requests have long prompts

  Scenario: prompts are sent to the instances of their group
    Then 9 instances get all long prompts
    And the other 11 get all short prompts

  Scenario: prompts are sent to others once their group is at the bound
    When all instances for long prompts are at the bound
    Then long prompts are sent to the others
    And no instance exceeds its bound

  Scenario: a prefix is copied from its place if it is sent elsewhere
    When all instances for long prompts but one are at the bound
    Then long prompts name the first instance of their group as the source

  Scenario: callers whose prompts claim absurd sizes take no room from others
    When short prompts claim 999999999 tokens
    Then 9 instances get all long prompts
    And the other 11 get all short prompts

  Scenario: without the option all instances get all prompts
    Given a gateway without the option
    Then all instances get long and short prompts

  Scenario: only long prompts in flight are reported
    When 3 long and 2 short prompts are in flight
    Then 3 requests with long prompts are reported
    When they have ended
    Then 0 requests with long prompts are reported
