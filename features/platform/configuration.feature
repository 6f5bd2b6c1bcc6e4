Feature: An operator's configuration is taken in full, or refused

  Scenario: the example of the platform's pages
    Given the platform's example of a configuration
    When it is decoded
    Then "POST ficu95.example/pufi791/x" with key "n2ct" goes to "huvo11a" for "hule930"
    And "POST ficu95.example/lohu930/a/b" with key "n2ct" goes to "huvo11a" for "hule930"
    And its streams may be resumed on "ficu95.example/pufi791/" alone

  Scenario Outline: what is invalid is refused
    Given the platform's example of a configuration
    And its <field> is <value>
    When it is decoded
    Then it is refused with "<message>"

    Examples:
      | field                              | value          | message              |
      | version                            | 0              | at least 1           |
      | version                            | "seven"        | a number             |
      | routes.0.service                   | "nobody"       | unknown service      |
      | routes.1.path_prefix               | "/pufi791/"    | another route already has |
      | routes.0.timeout_ms                | 0              | at least 1           |
      | routes.1.traffic_split.0.weight    | 0              | more than 0          |
      | routes.1.traffic_split.0.service   | "nobody"       | unknown service      |
      | tenants.1.api_keys.0               | "n2ct"         | already assigned     |
      | routes                             | {}             | a list               |
      | tenants.0.name                     | 7              | a non-empty string   |
      | limits.idle_timeout_ms             | "long"         | a number             |
      | services.0.cold_start_s            | -1             | at least 0           |
      | services.0.cold_per_s              | "few"          | a number             |
      | services.0.cold_per_s              | Infinity       | finite               |
      | routes.0.timeout_ms                | Infinity       | finite               |
      | limits.max_body_bytes              | NaN            | finite               |
      | routes.0.allowed_regions           | "hcm"          | a list of strings    |
      | tenants.0.allowed_regions          | [7]            | a list of strings    |

  Scenario: what cold instances take, and where requests may run
    Given the platform's example of a configuration
    And its services.0.cold_start_s is 3.0
    And its services.0.cold_per_s is 9.6
    And its routes.0.allowed_regions is ["hcm", "danang"]
    And its tenants.0.allowed_regions is ["danang", "hue"]
    When it is decoded
    Then instances of "huvo11a" are cold for 3 seconds and made for 9.6 a second
    And "POST ficu95.example/pufi791/x" with key "n2ct" may run in danang alone
    And "POST ficu95.example/pufi791/x" with key "zzzz" may run in danang, hcm alone
    And "POST ficu95.example/lohu930/x" with key "zzzz" may run anywhere

  Scenario: a body that breaks off
    Given the platform's example of a configuration
    When the first half of it is decoded
    Then it is refused with "not JSON"

  Scenario: a kind of route that is not known is never repeated
    Given the platform's example of a configuration
    And its routes.0.route_kind is "of tomorrow"
    When it is decoded
    Then requests on "ficu95.example/pufi791/" are never repeated
