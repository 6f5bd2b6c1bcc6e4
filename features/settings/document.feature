Feature: Wrong settings and bundles name file, line, field and remedy

  Scenario Outline: a wrong file is refused with the line
    Given a file with the lines <lines>
    When it is read as <kind>
    Then it is refused at line <line> with "<message>"

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

  Scenario: the command ends with code 2 and without a traceback
    Given a file with the lines name: r; domain: d; listen: x
    When the router command is run with it
    Then it ends with code 2, names the line, and shows no traceback
