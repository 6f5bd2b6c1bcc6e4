Feature: A request is served end to end
  Callers ask any router which address to use, and get their whole answer
  there, or over one hop from any other router.

  Background:
    Given a fleet of 3 control replicas, 3 routers, 3 engines and 2 services

  Scenario: the address that discovery names serves without a hop
    When a caller asks for the address of chat "yard-17"
    And the caller sends a chat turn there
    Then the answer is whole and is what the engine wrote
    And no router had to pass it on

  Scenario: any other router serves over one hop
    When a caller sends a turn of chat "yard-17" to every router
    Then every answer is whole and is what the engine wrote
    And all of them came from the same engine

  Scenario: a plain service is called by name
    When a caller sends a filing to "router-2"
    Then the filing is answered with status 200
    And it ran once

  Scenario: a caller gets the whole answer that does not stream
    When a caller sends a turn that does not stream to "router-1"
    Then the answer is a whole JSON document

  Scenario: wrong requests get a typed refusal and do not run
    When a caller asks "router-1" for a service that is not there
    Then it is refused with "HP-3002" and "not run"
    When an unknown client account sends a turn to "router-1"
    Then it is refused with "HP-3003" and "not run"
    When a caller sends "router-1" a body that is not JSON
    Then it is refused with "HP-3001" and "not run"
    And nothing ran

  # The library asked only the routers that it was given, and it was given one.
  # Once that one was gone a new chat found nobody, though answers had named
  # others: "NotSent: 127.0.0.2:39885 cannot be reached" at the first of them.
  Scenario: the callers' library outlives the routers that it was given
    Given a callers' library that was given "router-1" alone
    When 6 chats go through the library
    And "router-1" is gone for good
    Then 6 new chats through the library are answered whole
