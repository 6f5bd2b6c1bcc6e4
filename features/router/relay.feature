Feature: The answers on a link between routers do not depend on each other

  # Guards against answers that break because their link was idle before.
  Scenario: a link that was idle is used while another idle one is closed
    Given links to 2 peers, which are closed after 0.3 s without use
    When a call is sent over each, and the second one again while the first is closed
    Then the last answer is whole

  Scenario: a link is kept while the answers on it are silent
    Given links to 1 peers, which are closed after 0.3 s without use
    When a call is sent whose answer is silent for 1 s
    Then the last answer is whole

  Scenario: one of several answers on a link is given up
    Given links to 1 peers, which are closed after 0.3 s without use
    When 5 calls are sent whose answers are silent for 1 s, and the first is given up
    Then the other 4 answers are whole

  Scenario: a link breaks with several answers on it
    Given links to 1 peers, which are closed after 0.3 s without use
    When 5 calls are sent whose answers are silent for 1 s, and the peer ends
    Then 5 answers break within 0.5 s as lost with their peer

  # Guards against answers that end because of a frame that is not theirs.
  Scenario Outline: a frame that cannot be handled ends no answer
    Given links to 1 peers, which are closed after 0.3 s without use
    When 5 calls are sent whose answers are silent for 1 s, and <side> fails to handle a frame about <matter>
    Then the other 5 answers are whole

    Examples:
      | side       | matter  |
      | the peer   | slots   |
      | the peer   | streams |
      | the router | slots   |

  Scenario: a call that cannot be read is answered with an error
    Given links to 1 peers, which are closed after 0.3 s without use
    When a call is sent that the peer fails to read
    Then it is answered with an error within 0.5 s
