Feature: A landing without a run of its own source is noticed

  # Operators were sent to no address by a refactoring that came after the last
  # run; the page on the round said "on the final source" all the same.

  Scenario Outline: what changed after the newest run
    Given a tree whose journal has a run of it as it was committed
    When <change>
    Then the warning names <files>

    Examples:
      | change                                            | files      |
      | nothing changes                                   | nothing    |
      | the file src/a.py is changed                      | src/a.py   |
      | the file src/a.py changes in a commit             | src/a.py   |
      | the file src/b.py is removed                      | src/b.py   |
      | the file src/new.py is added                      | src/new.py |
      | the file docs/page.md is changed                  | nothing    |
      | the file src/a.py changes before a run            | nothing    |
      | the file src/a.py changes before a run and after it | src/a.py |
      | a trial on a copy is the newest run                 | nothing  |

  Scenario: a journal without a run
    Given a tree without a run
    Then the warning says "the journal has no run"
