Feature: A configuration is decoded completely or rejected

  Scenario: an example configuration is decoded
    Given an example configuration
    When it is decoded
    Then "POST ficu95.example/pufi791/x" with key "n2ct" is routed to "huvo11a" for account "hule930"
    And "POST ficu95.example/lohu930/a/b" with key "n2ct" is routed to "huvo11a" for account "hule930"
    And only the route "ficu95.example/pufi791/" is resumable

  Scenario Outline: an invalid configuration is rejected
    Given an example configuration
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

  Scenario: cold start settings and allowed regions
    Given an example configuration
    And its services.0.cold_start_s is 3.0
    And its services.0.cold_per_s is 9.6
    And its routes.0.allowed_regions is ["hcm", "danang"]
    And its tenants.0.allowed_regions is ["danang", "hue"]
    When it is decoded
    Then instances of "huvo11a" are cold for 3 seconds with a cold rate of 9.6 a second
    And "POST ficu95.example/pufi791/x" with key "n2ct" may run only in danang
    And "POST ficu95.example/pufi791/x" with key "zzzz" may run only in danang, hcm
    And "POST ficu95.example/lohu930/x" with key "zzzz" may run in any region

  Scenario: a truncated document
    Given an example configuration
    When the first half of it is decoded
    Then it is refused with "not JSON"

  Scenario: requests on a route of unknown kind are never retried
    Given an example configuration
    And its routes.0.route_kind is "unknown_kind"
    When it is decoded
    Then requests on the route "ficu95.example/pufi791/" are never retried
