Feature: Callers take streams up after all gateways were killed

  # Guards against streams of two versions.
  Scenario Outline: all processes are killed, and there were or are two versions
    Given a platform whose gateways have links of their own to 4 instances
    And its servers have the versions <before>
    When an operator sends version 7 with a route for resumable streams
    Then every instance is ready within 10 seconds
    When <seconds> s pass in calm
    And 32 callers read streams when all processes are killed
    And all processes are started again while the versions are <after>
    And the callers take their streams up for 6 s
    Then no caller has events of two versions

    Examples:
      | before             | after                  | seconds |
      | v1, v1, v1.1, v1.1 | v1, v1, v1.1, v1.1     | 1       |
      | v1, v1, v1, v1     | v1, v1, v1.1, v1.1     | 31      |
      | v1, v1, v1, v1     | v1.1, v1.1, v1.1, v1.1 | 31      |

  # Guards against refusals where only one version can have begun a stream.
  Scenario: all processes are killed, and there has been one version
    Given a platform whose gateways have links of their own to 4 instances
    And its servers have the versions v1, v1, v1, v1
    When an operator sends version 7 with a route for resumable streams
    Then every instance is ready within 10 seconds
    When 31 s pass in calm
    And 32 callers read streams when all processes are killed
    And all processes are started again while the versions are v1, v1, v1, v1
    And the callers take their streams up for 10 s
    Then all streams that were taken up are whole, each of one version
