Feature: Only the leader sends orders to engines, to a few of them at once

  Scenario: a new version of a model is loaded everywhere, two at a time
    Given a fleet of 3 control replicas, 2 routers, 10 engines and a weight store
    When version "2" of the model is rolled out
    Then every engine has version "2"
    And the weight store never served more than 2 loads at once
    And the weight store refused nothing
    And all turns sent during the rollout were answered

  Scenario: adapters and roles are applied by orders like models
    Given a fleet of 1 control replicas, 1 routers, 2 engines and a weight store
    When adapters "vi, es" and role "decode" are rolled out
    Then every engine has adapters "vi, es" and role "decode"

  Scenario: the leader is killed during a rollout
    Given a fleet of 3 control replicas, 2 routers, 6 engines and a weight store
    When version "2" of the model is rolled out and the leader is killed
    Then every engine has version "2"
    And the weight store never served more than 2 loads at once

  Scenario: an order of a former leader has no lasting effect
    Given a fleet of 3 control replicas, 2 routers, 4 engines and a weight store
    When the leader freezes
    And version "2" of the model is rolled out
    And every engine has version "2"
    And a late order for version "1" with an old fencing number is sent
    Then the engines that check the number refuse it
    And the engines that ignore the number return to version "2"
    And the frozen leader resumes and sends no more orders
