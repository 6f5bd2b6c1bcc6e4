Feature: A suspect request runs with a permit

  # Guards against a request that runs although its caller has left.
  Scenario: a caller leaves in the moment in which the permit arrives
    When a suspect request is cancelled 0 to 5 steps after its permit came
    Then no cancellation is ignored
    And its permit was released 6 times

  # Guards against several requests that run at once and crash their instances.
  Scenario: a request is refused while another one like it has the permit
    When a suspect request runs with a permit, and another one like it is refused
    Then its permit was released 0 times
