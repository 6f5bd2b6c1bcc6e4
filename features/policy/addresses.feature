Feature: The content and the lifetime of the address lists of callers

  Scenario: some gateways are unreachable for 12 seconds
    Given 10 gateways and 100 callers that send 2 requests a second each
    When 4 gateways are unreachable from second 5 to second 17
    Then callers wait at least 10% less than with a list lifetime of 1 s

  Scenario: a rolling restart of the gateways
    Given 10 gateways and 100 callers that send 2 requests a second each
    When every 2 seconds a gateway leaves and returns 7 seconds later
    Then callers are refused at most half as often as with a list lifetime of 5 s

  Scenario Outline: callers get the gateways of their domain or region
    Given 2 gateways in thu-duc, 1 in tan-binh and 1 in son-tra
    And thu-duc and tan-binh are in region hcm, son-tra in region danang
    Then a caller from <domain> gets the addresses <gateways>

    Examples:
      | domain     | gateways                               |
      | thu-duc    | thu-duc-1, thu-duc-2                   |
      | tan-binh   | tan-binh-1, thu-duc-1, thu-duc-2       |
      | son-tra    | son-tra-1                              |
      | binh-chanh | son-tra-1, tan-binh-1, thu-duc-1, thu-duc-2 |

  Scenario: lists have a short lifetime while gateways drain
    Given a gateway that starts to drain at second 10
    Then a list that is sent at second 9 has a lifetime of 5 s
    And a list that is sent at second 12 has a lifetime of 1 s
    And a list that is sent at second 30 has a lifetime of 5 s
