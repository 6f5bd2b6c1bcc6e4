Feature: The data folder of a replica

  Scenario Outline: a tail that a crash tore is cut
    Given a log of 20 entries
    When the last record loses its last <lost> bytes
    Then the log has 19 entries after it is loaded
    And entries can be added after that

    Examples:
      | lost |
      | 1    |
      | 9    |

  Scenario: a tail of zeros is cut
    Given a log of 20 entries
    When 100 zero bytes follow the last record
    Then the log has 20 entries after it is loaded

  Scenario Outline: any other damage keeps the replica from starting
    Given a log of 20 entries
    When the byte at <share> percent of the log is flipped
    Then loading fails with "HP-2005"

    Examples:
      | share |
      | 0     |
      | 10    |
      | 50    |
      | 99    |

  Scenario: a damaged snapshot keeps the replica from starting
    Given a log of 20 entries
    And a snapshot at entry 10
    When a byte of the snapshot is flipped
    Then loading fails with "HP-2005"

  Scenario: a folder is used by one process only
    Given a log of 20 entries
    Then opening the folder a second time fails with "HP-2005"

  Scenario: an entry replaces the one with its index and all after it
    Given a log of 20 entries
    When entry 15 of a later term is added
    Then the log has 15 entries after it is loaded
