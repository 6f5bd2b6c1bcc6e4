Feature: No answer is cut because its instances are silent for a while

  Background:
    Given a platform of three gateways and 8 instances that can fall silent

  @alone
  Scenario: all instances fall silent together and go on
    Given 30 callers at each gateway read one stream
    When all instances are silent for 1.6 s
    Then every stream is whole
    And every stream ran once

  @alone
  Scenario: all instances fall silent together, 0.2 s after SIGTERM to a gateway
    Given 30 callers at each gateway read one stream after another
    When gateway 3 gets SIGTERM
    And all instances are silent for 1.6 s, from 0.2 s on
    Then gateway 3 exits with code 0
    And every stream is whole

  @alone
  Scenario: instances fall silent while gateways stop, reload and are configured
    Given 10 callers at each gateway read one stream after another
    When the instances fall silent, and each time one of these follows
      | silent  | change                           |
      | all     | gateway 3 gets SIGTERM           |
      | all     | the configuration changes        |
      | all     | gateway 1 reloads its settings   |
      | one     | the configuration changes        |
      | another | gateway 1 reloads its settings   |
      | one     | gateway 3 starts again           |
      | another | gateway 2 gets SIGTERM           |
    Then every stream is whole

  @alone
  Scenario: one of eight instances falls silent for good
    Given 30 callers at each gateway read one stream
    When 1 of the instances are silent for good
    Then every stream is whole
    And the other instances got those of the silent one in time

  @alone
  Scenario: three of eight instances fall silent for good
    Given 30 callers at each gateway read one stream
    When 3 of the instances are silent for good
    Then none is cut before its deadline
    And each that is cut had no retry left

  @alone
  Scenario: all instances fall silent while requests run that are not streams
    Given 30 callers at each gateway send one request after another
    When all instances are silent for 1.6 s
    Then every request is answered
