Feature: Which failure domains are evacuated is part of the replicated state

  Scenario: a snapshot keeps it
    Given a replicated state in which thu-duc, tan-binh are evacuated
    When it is restored from its snapshot
    Then thu-duc, tan-binh are evacuated

  Scenario: the order of the log decides, however often an order comes
    Given a replicated state in which thu-duc, tan-binh are evacuated
    When the log ends thu-duc, begins thu-duc, begins thu-duc, ends tan-binh
    Then thu-duc are evacuated
