Feature: Storage of a replica in its data folder

  Scenario Outline: an incomplete last record is removed
    Given a log of 20 entries
    When the last record is truncated by <lost> bytes
    Then 19 entries are loaded from the log
    And entries can be appended afterwards

    Examples:
      | lost |
      | 1    |
      | 9    |

  Scenario: trailing zero bytes are removed
    Given a log of 20 entries
    When 100 zero bytes follow the last record
    Then 20 entries are loaded from the log

  Scenario Outline: a corrupted log keeps the replica from starting
    Given a log of 20 entries
    When a bit is flipped at <share> percent of the log
    Then loading fails with "HP-2005"

    Examples:
      | share |
      | 0     |
      | 10    |
      | 50    |
      | 99    |

  Scenario: a corrupted snapshot keeps the replica from starting
    Given a log of 20 entries
    And a snapshot at entry 10
    When a bit of the snapshot is flipped
    Then loading fails with "HP-2005"

  Scenario: a data folder cannot be opened twice
    Given a log of 20 entries
    Then opening the folder a second time fails with "HP-2005"

  Scenario: an entry replaces the one with its index and all later ones
    Given a log of 20 entries
    When entry 15 of a later term is appended
    Then 15 entries are loaded from the log
