Feature: Evacuated failure domains are part of the replicated state

  Scenario: a snapshot contains the evacuated domains
    Given a replicated state in which thu-duc, tan-binh are evacuated
    When it is restored from its snapshot
    Then the evacuated domains are thu-duc, tan-binh

  Scenario: repeated and opposite orders take effect in the order of the log
    Given a replicated state in which thu-duc, tan-binh are evacuated
    When the log has the orders ends thu-duc, begins thu-duc, begins thu-duc, ends tan-binh
    Then the evacuated domains are thu-duc
