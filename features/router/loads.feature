Feature: Routers subtract their own loads from totals that are the same for all

  Scenario: a router knows the loads of the other routers
    Given the reports of three routers on two backend servers
    Then each router knows the loads of the other two

  Scenario: only changed loads are sent
    Given the reports of three routers on two backend servers
    When one of them has one request more on the first
    Then the next message contains the first one alone
    And each router knows the loads of the other two

  Scenario: one message serves all routers
    Given the reports of three routers on two backend servers
    Then all routers get the same message

  Scenario: a router that is far behind gets all loads
    Given the reports of three routers on two backend servers
    When the totals change 40 times
    Then a router that has the first totals gets all loads

  Scenario: backend servers without requests are removed
    Given the reports of three routers on two backend servers
    When all requests have ended
    Then no router knows of any request

  # Guards against a limit that counts the requests of a killed router.
  Scenario: a router whose stream has ended does not raise the total load
    Given the reports of three routers on two backend servers
    When the stream of the last one ends
    Then the total load is that of the first two

  Scenario: an instance is unreachable once gateways of two domains report it
    Given the reports of three gateways, two of them in one domain
    When gateways 1 and 2 report that the first instance is backing off
    Then all gateways know 0 instances as unreachable
    When gateways 1 and 3 report that the first instance is backing off
    Then all gateways know 1 instances as unreachable
    When no gateway reports an instance any more
    Then all gateways know 0 instances as unreachable

  Scenario: all gateways know that a service is brittle, by the least tolerance
    Given the reports of three gateways, two of them in one domain
    When gateway 1 reports that an instance survives 4 rejections
    And gateway 3 reports that an instance survives 2 rejections
    Then all gateways know that an instance survives 2 rejections
    When no gateway reports a brittle service any more
    Then no gateway knows of a brittle service
