Feature: Errors in settings and bundles name file, line, field and expected value

  Scenario Outline: an invalid file is rejected with the line of the error
    Given a file with the lines <lines>
    When it is read as a <kind>
    Then it is rejected at line <line> with "<message>"

    Examples:
      | lines                                          | kind    | line | message                     |
      | name: r; domain: d; listen: x                  | router  | 3    | listen: expected IP:PORT    |
      | name: r; domain: d; lisen: x                   | router  | 3    | lisen: expected one of      |
      | name: r; domain: 7                             | router  | 2    | domain: expected text       |
      | name: r; name: s                               | router  | 2    | the key 'name' only once    |
      | name: [                                        | router  | 2    | not YAML                    |
      | version: one                                   | bundle  | 1    | expected a whole number     |
      | version: 0                                     | bundle  | 1    | at least 1                  |
      | version: 1; signers: {keys: {}}                | bundle  | 1    | the field is missing        |

  Scenario: the command exits with code 2 and prints no traceback
    Given a file with the lines name: r; domain: d; listen: x
    When the router command is run with the file
    Then it exits with code 2, prints the line and no traceback
