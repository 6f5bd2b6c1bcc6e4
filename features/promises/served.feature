Feature: A request is served end to end
  Callers ask any router which address to use. That address serves them
  directly; any other router serves them over one hop.

  Background:
    Given a fleet of 3 control replicas, 3 routers, 3 engines and 2 services

  Scenario: the discovered address serves a chat without a hop
    When a caller asks for the address of chat "yard-17"
    And the caller sends a chat turn there
    Then the answer is whole and is what the engine wrote
    And it was served without a hop

  Scenario: any other router serves over one hop
    When a caller sends a turn of chat "yard-17" to every router
    Then every answer is whole and is what the engine wrote
    And all of them came from the same engine

  Scenario: a plain service is called by name
    When a caller sends a filing to "router-2"
    Then the filing is answered with status 200
    And it ran once

  Scenario: a caller gets a whole answer without streaming
    When a caller sends a turn that does not stream to "router-1"
    Then the answer is a whole JSON document

  Scenario: invalid requests are refused with an error code and do not run
    When a caller asks "router-1" for a service that does not exist
    Then it is refused with "HP-3002" and "not run"
    When an unknown client account sends a turn to "router-1"
    Then it is refused with "HP-3003" and "not run"
    When a caller sends "router-1" a body that is not JSON
    Then it is refused with "HP-3001" and "not run"
    And nothing ran

  # Guards against a client that asks only its configured routers.
  Scenario: the client library works after its configured routers are gone
    Given a client library configured with "router-1" alone
    When 6 chats are sent through the client library
    And "router-1" is killed and not restarted
    Then 6 new chats through the client library get whole answers
