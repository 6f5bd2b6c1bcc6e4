Feature: The settings file is decoded, or rejected with a reason

  Scenario: unknown fields are ignored
    Given the platform's settings file
    And its line "unknown.field=7"
    When the settings are read
    Then the instance is named "edge-thu-duc-1" in the failure domain "thu-duc"
    And the control addresses are "10.1.0.19:7340" and "10.2.0.36:7340"
    And a revoked key is rejected after 5 seconds
    And "thu-duc" is a known failure domain

  Scenario: regions, and the load that cold instances tolerate
    Given the platform's settings file
    And its line "region=hcm"
    And its line "zones.thu-duc=hcm"
    And its line "zones.son-tra=danang"
    And its line "bounds.cold_overage=1.5"
    And its line "bounds.cold_tolerance=5"
    When the settings are read
    Then "son-tra" is in the region "danang"
    And a cold instance with a cold rate of 9.6 a second tolerates 19.4 requests

  Scenario Outline: an invalid file
    Given the platform's settings file
    And its line "<line>"
    When the settings are read
    Then they are refused with "<message>"

    Examples:
      | line                        | message                               |
      | no equals sign              | expected name=value                   |
      | seeds=                      | seeds is missing                      |
      | cloud.address=              | cloud.address is missing              |
      | bounds.revocation_ms=soon   | bounds.revocation_ms: 'soon' is not   |
      | internal_port_range=a,b     | internal_port_range: 'a' is not       |

  Scenario: a missing file
    When the settings are read from a missing file
    Then they are refused with "No such file"
