Feature: Invalid entries of the instance list do not affect the valid ones

  Scenario: an entry with an invalid field is refused, the others are used
    Given a list of the instances i-1, i-2, i-3
    Then the list yields i-1, i-3 for each invalid field of i-2
      | field             | value               |
      | zone              | missing             |
      | version           | missing             |
      | id                | 7                   |
      | id                | ""                  |
      | service           | null                |
      | zone              | ["a"]               |
      | address           | "10.1.0.9"          |
      | address           | "nowhere:80"        |
      | address           | "10.1.0.9:0"        |
      | address           | "10.1.0.9:99999"    |
      | address           | "10.1.0.9:８０"       |
      | slots             | "8"                 |
      | slots             | true                |
      | slots             | 8.5                 |
      | slots             | 0                   |
      | slots             | -8                  |
      | slots             | 99999999999         |
      | state             | "warming"           |
      | state             | {}                  |
      | cold_remaining_ms | "soon"              |
      | cold_remaining_ms | -1                  |
      | cold_remaining_ms | 1e999               |
      | models            | "m"                 |
      | stage             | 3                   |

  Scenario: an entry that is not an object
    Given a list of the instances i-1, i-2, i-3
    Then the list yields i-1, i-3 for each entry in place of i-2
      | entry |
      | null  |
      | "i-2" |
      | 17    |
      | []    |
      | {}    |

  Scenario: unknown fields are ignored
    Given a list of the instances i-1, i-2
    And the born of i-2 is 1790000000000
    When the list is read
    Then the list yields i-1, i-2

  Scenario: an entry that is not valid UTF-8
    Given a list of the instances i-1, i-2, i-3
    And the bytes of i-2 are not valid UTF-8
    When the list is read
    Then the list yields i-1, i-3

  Scenario: an entry that makes its page invalid JSON
    Given a list of the instances i-1, i-2, i-3
    And the bytes of i-2 are not valid JSON
    When the list is read
    Then the list yields i-1, i-3

  Scenario: a truncated page
    Given a list of the instances i-1, i-2, i-3, with one instance a page
    And page 2 is truncated
    When the list is read
    Then the list yields i-1
    And the reading is incomplete

  Scenario: a list whose first page cannot be read
    Given a list of the instances i-1, i-2, i-3, with one instance a page
    And page 1 is truncated
    Then the list cannot be read

  @alone
  Scenario: the zones of a long list are read concurrently
    Given a list of 600 instances in 3 zones, 50 a page
    When the list is read twice, and each page takes 40 ms
    Then both readings contain all instances
    And the second reading takes no longer than 5 pages in sequence

  Scenario: each page of a zone is read beside those of the other zones
    Given a list of 600 instances in 3 zones, 50 a page
    When the list is read twice, and pages of a zone wait for the other zones
    Then both readings contain all instances
    And the second reading requested 4 pages of each zone

  Scenario: a short list takes one call for each page
    Given a list of 120 instances in 3 zones, 50 a page
    When the list is read twice, and each page takes 0 ms
    Then both readings contain all instances
    And each reading requested each page once

  Scenario: an instance that is listed twice is leaving if either entry is draining
    Given a list of the instances i-1, i-2, i-2
    And the state of i-2 is "draining"
    When the list is read
    Then the list yields i-1, i-2
    And i-2 is listed as leaving

  Scenario: arbitrary entries beside valid ones
    Then any list yields exactly its valid entries

  Scenario: the platform limits the rate of readings
    Given a list of the instances a, b, c
    And the platform answers 429 with Retry-After 1.5
    Then the list cannot be read, and the next reading is after 1.5 s
