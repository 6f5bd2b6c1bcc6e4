Feature: Connections to instances that fall silent

  # Guards against answers that break although their instance goes on.
  Scenario: a connection outlives a silence that is not the end of its instance
    Given a connection of a gateway to an instance
    Then it is closed 1.8 to 4 seconds after data was not acknowledged
    And it is closed 1.8 to 4 seconds after probes were not answered

  # Guards against a request that ends with an internal error.
  Scenario: a connection is closed as soon as it is established
    When a gateway connects to an instance that closes the connection at once
    Then the connection failed, and the request was not sent
