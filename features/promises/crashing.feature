Feature: A request that ends each backend server that runs it is not sent on

  # What happened to gateways on a platform (platform/crashing.feature) had its
  # cause here as well: a steward counts the failures of its backend server,
  # and neither keeps nor tells which requests ran there when it ended. 30 more
  # sends at three routers ran 79 times on six servers: a request that may be
  # repeated was taken to the next server each time.

  Scenario: a request that comes again after three backend servers ended
    Given a fleet of 3 control replicas, 3 routers, 0 engines and 6 services
    When a filing that ends its server comes until 3 have ended
    And it comes 10 times at every router, and others between
    Then it was run at most 3 times in that time
    And it was refused with "HP-3016" and "not run" each time
    And the other filings were all answered
