Feature: An evacuated failure domain gets nothing new

  Scenario: through the fleet's own routers, and under the next leader
    Given a fleet of 3 control replicas, 2 routers and 4 engines
    When an operator evacuates the failure domain thu-duc
    Then the status of the fleet shows thu-duc as evacuated
    And chats sent from now on run outside of thu-duc
    When the leading control replica is killed
    Then chats sent from now on run outside of thu-duc
    When an operator takes the failure domain thu-duc back
    Then chats sent from now on run in thu-duc as well

  Scenario: a failure domain that does not exist
    Given a fleet of 1 control replicas, 1 routers and 1 engines
    When an operator evacuates a failure domain that does not exist
    Then the operator is told that it is unknown, and which there are
