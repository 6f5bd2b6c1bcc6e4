Feature: Instances that some gateways report are excluded for all

  Scenario: gateways of two failure domains cannot reach an instance
    Given gateways in thu-duc, tan-binh, binh-chanh, and instances in each
    When gateways of thu-duc, tan-binh cannot reach tan-binh-1
    Then the excluded instances are tan-binh-1

  Scenario: only one failure domain cannot reach an instance
    Given gateways in thu-duc, tan-binh, binh-chanh, and instances in each
    When gateways of thu-duc cannot reach tan-binh-1
    Then the excluded instances are none

  Scenario: only one failure domain has gateways
    Given gateways in thu-duc, and instances in thu-duc, tan-binh
    When gateways of thu-duc cannot reach tan-binh-1
    Then the excluded instances are tan-binh-1

  Scenario: a failure domain is lost
    Given gateways in thu-duc, tan-binh, binh-chanh, and instances in each
    When the gateways of binh-chanh stop reporting
    And gateways of thu-duc, tan-binh cannot reach binh-chanh-1, binh-chanh-2
    Then the excluded instances are all of binh-chanh

  Scenario: a domain whose gateways never reported
    Given gateways in thu-duc, tan-binh, and instances in thu-duc, go-vap
    When gateways of thu-duc, tan-binh cannot reach go-vap-1, go-vap-2
    Then the excluded instances are go-vap-1, go-vap-2

  Scenario: a domain loses its gateways and one instance
    Given gateways in thu-duc, tan-binh, binh-chanh, and instances in each
    When the gateways of binh-chanh stop reporting
    And gateways of thu-duc, tan-binh cannot reach binh-chanh-1
    Then the excluded instances are binh-chanh-1

  Scenario: instances crash in a domain whose gateways still report
    Given gateways in thu-duc, tan-binh, binh-chanh, and instances in each
    When gateways of thu-duc, tan-binh cannot reach binh-chanh-1, binh-chanh-2
    Then the excluded instances are binh-chanh-1, binh-chanh-2

  Scenario: an unreachable instance is tried again after growing pauses
    Given gateways in thu-duc, tan-binh, binh-chanh, and instances in each
    When gateways of thu-duc, tan-binh cannot reach tan-binh-1
    Then it is excluded for 2, 4, 8, 8 seconds in turn

  # Otherwise each gateway pays a connect timeout for each lost instance.
  Scenario: a domain with a hundred instances is lost
    Given 30 gateways before 300 instances in 3 failure domains
    When one failure domain is lost, and each gateway gets 20 requests a second
    Then 1.5 seconds later at most 2 in 100 attempts go to lost instances

  Scenario: a domain is lost whose gateways are unknown to the leader
    Given 30 gateways before 300 instances in 3 failure domains
    And a leader that has no reports from the domain that will be lost
    When one failure domain is lost, and each gateway gets 20 requests a second
    Then 1.5 seconds later at most 2 in 100 attempts go to lost instances

  # Otherwise the instance has to reject a request from each gateway.
  Scenario: gateways of two failure domains report a requested backoff
    Given gateways in thu-duc, tan-binh, binh-chanh, and instances in each
    When gateways of thu-duc, tan-binh report a backoff of tan-binh-1
    Then the excluded instances are tan-binh-1
    When gateways of thu-duc, tan-binh report a backoff of none
    Then the excluded instances are none

  Scenario: only one failure domain reports a backoff
    Given gateways in thu-duc, tan-binh, binh-chanh, and instances in each
    When gateways of thu-duc report a backoff of tan-binh-1
    Then the excluded instances are none

  Scenario: instances in backoff do not indicate the loss of a domain
    Given gateways in thu-duc, tan-binh, binh-chanh, and instances in each
    When the gateways of binh-chanh stop reporting
    And gateways of thu-duc, tan-binh report a backoff of binh-chanh-1, binh-chanh-2
    Then the excluded instances are binh-chanh-1, binh-chanh-2
