Feature: A request that crashes backend servers is refused after a few crashes

  # Guards against retrying a crashing request on one server after another.

  Scenario: a request is repeated after it crashed three backend servers
    Given a fleet of 3 control replicas, 3 routers, 0 engines and 6 services
    When a filing that crashes its server is sent until 3 crashed
    And it is sent 10 times to every router, among other filings
    Then it ran at most 3 more times
    And it was refused with "HP-3016" and "not run" each time
    And all other filings were answered
