Feature: All routers get the same sums, and take their own part off

  Scenario: a router knows what the others have
    Given the reports of three routers on two backend servers
    Then each router knows what the other two have

  Scenario: only what changed is sent
    Given the reports of three routers on two backend servers
    When one of them has one request more on the first
    Then the next message names the first alone
    And each router knows what the other two have

  Scenario: a message is made once for all
    Given the reports of three routers on two backend servers
    Then all routers get the same message

  Scenario: a router that is far behind gets everything
    Given the reports of three routers on two backend servers
    When the sums change 40 times
    Then a router that has the first sum gets everything

  Scenario: what is over is forgotten
    Given the reports of three routers on two backend servers
    When all of them have ended
    Then no router knows of any request

  Scenario: rest that was asked of some gateways is known to all
    Given the reports of three gateways, two of them in one domain
    When gateways 1 and 2 report that the first instance rests
    Then all gateways leave 0 instances alone
    When gateways 1 and 3 report that the first instance rests
    Then all gateways leave 1 instances alone
    When no gateway reports that any more
    Then all gateways leave 0 instances alone
