Feature: What the instance list names, whoever wrote its entries

  Scenario: an entry of another writer names nothing, the others hold
    Given a list of the instances i-1, i-2, i-3
    Then it names i-1, i-3 whenever a field of i-2 cannot be used
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

  Scenario: an entry that is no object
    Given a list of the instances i-1, i-2, i-3
    Then it names i-1, i-3 whatever stands in place of i-2
      | entry |
      | null  |
      | "i-2" |
      | 17    |
      | []    |
      | {}    |

  Scenario: fields that nobody knows yet
    Given a list of the instances i-1, i-2
    And the born of i-2 is 1790000000000
    When the list is read
    Then it names i-1, i-2

  Scenario: bytes that are no text in one entry
    Given a list of the instances i-1, i-2, i-3
    And the bytes of i-2 are no UTF-8
    When the list is read
    Then it names i-1, i-3

  Scenario: an entry that spoils its page
    Given a list of the instances i-1, i-2, i-3
    And the bytes of i-2 are no JSON
    When the list is read
    Then it names i-1, i-3

  Scenario: a page that breaks off
    Given a list of the instances i-1, i-2, i-3, with one instance a page
    And page 2 breaks off
    When the list is read
    Then it names i-1
    And the rest is missing

  Scenario: a list of many pages, of which the first cannot be read
    Given a list of the instances i-1, i-2, i-3, with one instance a page
    And page 1 breaks off
    Then the list cannot be read

  Scenario: a long list is read one zone at a time, all at once
    Given a list of 600 instances in 3 zones, 50 a page
    When the list is read twice, and each page takes 40 ms
    Then both times it names all of them
    And the second time no more than 5 pages followed one another

  Scenario: a list of a few pages takes one call for each
    Given a list of 120 instances in 3 zones, 50 a page
    When the list is read twice, and each page takes 0 ms
    Then both times it names all of them
    And each page was asked for once each time

  Scenario: an instance that is listed twice leaves if one entry says so
    Given a list of the instances i-1, i-2, i-2
    And the state of i-2 is "draining"
    When the list is read
    Then it names i-1, i-2
    And i-2 is listed as leaving

  Scenario: whatever else is written beside good entries
    Then any list names exactly the good ones among its entries

  Scenario: the platform wants to be asked less
    Given a list of the instances a, b, c
    And the platform answers 429 with Retry-After 1.5
    Then the list cannot be read, and is read again after 1.5 s
