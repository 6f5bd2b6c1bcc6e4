@alone @crowd
Feature: A router outlives callers that do not behave

  # Bodies were held without a limit, also when they stopped short.
  Scenario Outline: a router outlives <kind>
    Given a fleet whose router has 20 MB for requests that it has not read, and 1000 file descriptors
    When 20 callers send <kind> to the router
    Then ordinary requests are answered beside the crowd
    And the process has stayed within its memory and descriptors
    When the crowd has left
    Then ordinary requests are answered

    Examples:
      | kind                              |
      | bodies that stop short            |
      | large chunks that stop short      |
      | chunked bodies far over the limit |

  Scenario: a router outlives more connections than descriptors
    Given a fleet whose router has 20 MB for requests that it has not read, and 300 file descriptors
    When 500 callers send nothing to the router
    Then ordinary requests are answered beside the crowd
    And the process has stayed within its memory and descriptors
