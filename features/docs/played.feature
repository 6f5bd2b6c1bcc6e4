Feature: A warning names source files that changed since the last journal run

  # Guards against figures in reports that were measured on another source, as
  # after a late refactoring.

  Scenario Outline: files that changed since the nearest run are named
    Given a repository whose journal has a run of its commit
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
      | the newest run is a trial on a copy                 | nothing  |

  Scenario: a journal without a run is reported
    Given a repository whose journal has no run
    Then the warning contains "the journal has no run"
