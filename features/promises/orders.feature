Feature: Only the leader orders engines about, and few of them at once

  Scenario: a new version of a model is loaded everywhere, two at a time
    Given a fleet of 3 control replicas, 2 routers, 10 engines and a weight store
    When version "2" of the model is rolled
    Then every engine has version "2"
    And the weight store never served more than 2 loads at once
    And the weight store refused nothing
    And turns were answered all the while

  Scenario: adapters and roles are ordered like models
    Given a fleet of 1 control replicas, 1 routers, 2 engines and a weight store
    When adapters "vi, es" and role "decode" are rolled
    Then every engine has adapters "vi, es" and role "decode"

  Scenario: the leader dies in the middle of a roll
    Given a fleet of 3 control replicas, 2 routers, 6 engines and a weight store
    When version "2" of the model is rolled and the leader killed
    Then every engine has version "2"
    And the weight store never served more than 2 loads at once

  Scenario: an order of a former leader does no harm
    Given a fleet of 3 control replicas, 2 routers, 4 engines and a weight store
    When the leader freezes
    And version "2" of the model is rolled
    And every engine has version "2"
    And an order for version "1" with the old fencing number comes late
    Then the engines that check the number refuse it
    And the engines that ignore the number are put right
    And the frozen leader wakes and orders nothing more
