Feature: Failure domains and regions decide which instances get a request

  Scenario: a failure domain is evacuated
    Given a balancer with 2 instances in each of thu-duc, tan-binh, binh-chanh
    When thu-duc is evacuated
    Then 500 requests with and without prompts go to tan-binh, binh-chanh
    And some prefixes are copied from thu-duc

  Scenario: instances of a restored domain are treated as cold
    Given a balancer with 2 instances in each of thu-duc, tan-binh, binh-chanh
    When thu-duc is evacuated
    And thu-duc is restored
    Then of 500 requests with prompts at most 8 go to thu-duc at once
    When 3 seconds pass on the clock
    Then 500 requests with and without prompts go to thu-duc, tan-binh, binh-chanh

  # Guards against a mean over the eligible instances only.
  Scenario: the load bound is a multiple of the mean load of all instances
    Given a balancer with 15 instances in each of thu-duc, tan-binh, binh-chanh
    When thu-duc is evacuated
    And 400 requests of 3 prefixes arrive and keep running
    Then no chosen instance had more than twice the mean load plus 3

  Scenario: all domains are evacuated
    Given a balancer with 2 instances in each of thu-duc, tan-binh, binh-chanh
    When thu-duc, tan-binh, binh-chanh is evacuated
    Then a request is refused as not run, with a retry time

  Scenario: a request may run in one region only
    Given a balancer with 2 instances in each of thu-duc, tan-binh, binh-chanh
    And thu-duc is in hcm, and the others in danang
    Then 500 requests for hcm go to thu-duc
    And none of them copies a prefix from another region

  Scenario: no instance is left in the allowed region of a request
    Given a balancer with 2 instances in each of thu-duc, tan-binh, binh-chanh
    And thu-duc is in hcm, and the others in danang
    When thu-duc is evacuated
    Then a request for hcm is refused as not run, with a retry time
