Feature: Callers keep an address list for as long as that serves them

  Scenario: a part of the gateways is cut off for a while
    Given 10 gateways and 100 callers that send 2 requests a second each
    When 4 gateways are dead from second 5 to second 17
    Then callers wait at least a tenth less than with lists that live 1 s

  Scenario: gateways are restarted one after the other
    Given 10 gateways and 100 callers that send 2 requests a second each
    When every 2 seconds one leaves and is back 7 seconds later
    Then callers are refused at most half as often as with lists that live 5 s

  Scenario Outline: callers are sent to gateways near by
    Given gateways in thu-duc twice, tan-binh once, son-tra once
    And thu-duc and tan-binh are in hcm, son-tra in danang
    Then a caller from <domain> is sent to <gateways>

    Examples:
      | domain     | gateways                               |
      | thu-duc    | thu-duc-1, thu-duc-2                   |
      | tan-binh   | tan-binh-1, thu-duc-1, thu-duc-2       |
      | son-tra    | son-tra-1                              |
      | binh-chanh | son-tra-1, tan-binh-1, thu-duc-1, thu-duc-2 |

  Scenario: a list is short while gateways leave, and long after that
    Given a gateway leaves in an orderly way at second 10
    Then a list of second 9 is kept for 5 s
    And a list of second 12 is kept for 1 s
    And a list of second 30 is kept for 5 s
