Feature: The platform's settings file is read, or refused with a reason

  Scenario: a file with fields that are not known
    Given the platform's settings file
    And its line "surprise.of_tomorrow=7"
    When the settings are read
    Then the process is called "edge-thu-duc-1" in "thu-duc"
    And control is sought at "10.1.0.19:7340" and "10.2.0.36:7340"
    And a revoked key is dead after 5 seconds
    And "thu-duc" is known as a failure domain

  Scenario: a file that names regions, and what cold instances tolerate
    Given the platform's settings file
    And its line "region=hcm"
    And its line "zones.thu-duc=hcm"
    And its line "zones.son-tra=danang"
    And its line "bounds.cold_overage=1.5"
    And its line "bounds.cold_tolerance=5"
    When the settings are read
    Then "son-tra" is in the region "danang"
    And a cold instance that is made for 9.6 a second tolerates 19.4

  Scenario Outline: a file that is wrong
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

  Scenario: a file that is not there
    When the settings are read from a file that is not there
    Then they are refused with "No such file"
