Feature: A router deals with suspects that are sets of requests

  Scenario: requests with all parts of a barred set are refused, no others
    Given a tracker of suspects with a stream to a leader
    When the leader bars requests with the parts a+f for 60 s
    Then a request with the parts a+b is admitted
    And a request with the parts f is admitted
    And a request with the parts b+f+a is refused for 60 s
    And a request of another service with the parts a+f is admitted

  Scenario: after the pause one request needs a permit
    Given a tracker of suspects with a stream to a leader
    When the leader holds requests with the part f to a permit, and grants it
    Then a request with the parts a+f is admitted
    And a permit was requested and released
    And a request with the parts a+b is admitted
    And a permit was requested and released

  Scenario: a prompt that has a part twice needs one permit
    Given a tracker of suspects with a stream to a leader
    When the leader holds requests with the part f to a permit, and grants it
    Then a request with the parts f+a+f is admitted
    And a permit was requested and released

  Scenario: nothing is sent unless the leader asks
    Given a tracker of suspects with a stream to a leader
    When 1000 requests with the parts a+b+c are answered
    Then no answers are reported

  Scenario: the leader asks about a part
    Given a tracker of suspects with a stream to a leader
    When a request with the parts a+b that began 3 s before is answered
    And the leader asks about the parts a+f
    Then 1 answers are reported, the latest with a that began 3.0 s before

  Scenario: answers are reported at a limited rate
    Given a tracker of suspects with a stream to a leader
    When the leader asks about the parts a+f
    And requests with the parts a+b are answered for 1.1 s
    Then from 4 to 6 answers are reported

  Scenario: the next leader asks for itself
    Given a tracker of suspects with a stream to a leader
    When the leader asks about the parts a+f
    And a stream to another leader is opened
    And requests with the parts a+b are answered for 0.6 s
    Then no answers are reported

  Scenario: an end with prompts of many parts is reported in part
    Given a tracker of suspects with a stream to a leader
    When an instance ends under 1000 requests with 200 parts each
    Then its report has 1000 requests, and at most 1024 parts

  Scenario: a million parts are answered
    Given a tracker of suspects with a stream to a leader
    When requests with a million parts in all are answered
    Then answers with at most 2048 parts are kept
