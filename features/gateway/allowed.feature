Feature: Nothing runs that the configuration in force does not allow

  Scenario: without a lease nothing is sent
    Given a gateway for idempotent requests whose instances answer
    When its lease ends
    And a caller sends a request
    Then it gets 503, and 0 requests arrived
    And it is told when to come back
    And it is told to go elsewhere at once

  Scenario: a caller that comes before the first lease waits for it
    Given a gateway that has just started
    When a caller with 2000 ms sends a request, and the lease comes after 250 ms
    Then it gets 200, and 1 requests arrived
    And it has that within 400 ms

  Scenario: a caller that cannot wait for the first lease is refused at once
    Given a gateway that has just started
    When a caller with 300 ms sends a request, and the lease comes after 250 ms
    Then it gets 503, and 0 requests arrived
    And it has that within 100 ms
    And it is told to come back in 300 to 400 ms

  Scenario: a first lease that is late does not hold a caller for long
    Given a gateway that has just started
    When a caller with 5000 ms sends a request, and the lease comes after 1500 ms
    Then it gets 503, and 0 requests arrived
    And it has that within 900 ms

  Scenario: callers are not sent to a gateway that knows no instances yet
    Given a gateway that has just started
    When it has a configuration and a lease, and no list of instances
    Then it says that it is not ready: no list of instances yet
    When the list comes
    Then it says that it is ready

  Scenario: a key that nobody holds
    Given a gateway for idempotent requests whose instances answer
    When a caller sends a request with the key "stolen"
    Then it gets 401, and 0 requests arrived

  Scenario: a key that is taken away
    Given a gateway for idempotent requests whose instances answer
    When the key is taken away
    And a caller sends a request
    Then it gets 401, and 0 requests arrived

  Scenario Outline: a path that no route has
    Given a gateway for idempotent requests whose instances answer
    When a caller asks for "<path>" on host "<host>"
    Then it gets <status>, and <count> requests arrived

    Examples:
      | path    | host         | status | count |
      | /r/a/b  | yard.example | 200    | 1     |
      | /other/ | yard.example | 404    | 0     |
      | /r      | yard.example | 404    | 0     |
      | /r/     | other.host   | 404    | 0     |

  Scenario: an instance that is leaving gets nothing
    Given a gateway for idempotent requests whose instances answer
    When the instances i-1 and i-2 are leaving
    And a caller sends 5 requests on one connection
    Then only i-3 got requests

  Scenario: prompts stay where their shared part is cached
    Given 12 instances and prompts with 92 subjects
    Then losing an instance moves only the subjects it had
    And no instance is over its bound though one subject is hot
