Feature: An evacuated failure domain gets no new work

  Scenario: an evacuation is applied by all routers and survives a new leader
    Given a fleet of 3 control replicas, 2 routers and 4 engines
    When an operator evacuates the failure domain thu-duc
    Then the status of the fleet shows thu-duc as evacuated
    And new chats run outside of thu-duc
    When the leading control replica is killed
    Then new chats run outside of thu-duc
    When an operator restores the failure domain thu-duc
    Then new chats run in thu-duc as well

  Scenario: evacuating a failure domain that does not exist is an error
    Given a fleet of 1 control replicas, 1 routers and 1 engines
    When an operator evacuates a failure domain that does not exist
    Then the error says that it is unknown and names the known ones
