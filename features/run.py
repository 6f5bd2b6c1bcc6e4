"""Runs all features; the last line is ``N passed, N failed``.

A scenario named in ``KNOWN-RED.txt`` may fail: it is printed, and counts
neither way. One that is named there and passes counts as a failure, so
that the list stays true.
"""

import pathlib
import sys

from behave import configuration
from behave import model
from behave import runner

_ROOT = pathlib.Path(__file__).parent.parent
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'
_MOST_RED = 3


def main() -> int:
    """Run the features that the command line names, or all."""
    arguments = sys.argv[1:] or [str(_ROOT / 'features')]
    config = configuration.Configuration(
        ['--no-capture', '--format=progress', '--summary', *arguments]
    )
    run = runner.Runner(config)
    run.run()
    known = _known_red()
    passed, failed = [], []
    for feature in run.features:
        for scenario in feature.walk_scenarios():
            if scenario.status.name == 'passed':
                passed.append(scenario.name)
            elif scenario.status.name == 'skipped' and ':' in arguments[0]:
                continue  # a line of the feature was asked for
            else:
                failed.append(scenario.name)
                _explain(scenario)
    red = [name for name in failed if name in known]
    failed = [name for name in failed if name not in known]
    failed += [f'{name} (in KNOWN-RED)' for name in passed if name in known]
    for name in red:
        print(f'known red: {name}: {known[name]}')
    for name in failed:
        print(f'failed: {name}')
    print(f'{len(passed)} passed, {len(failed)} failed')
    return 1 if failed or not passed else 0


def _explain(scenario: model.Scenario) -> None:
    """Print why a scenario failed."""
    for step in scenario.all_steps:
        if step.status.name in ('failed', 'error', 'undefined'):
            print(f'{scenario.filename}:{step.line}: {step.name}')
            print(step.error_message or 'there is no such step')


def _known_red() -> dict[str, str]:
    """Return the scenarios that are known to fail, with their causes."""
    if not _KNOWN_RED.exists():
        return {}
    known = {}
    for line in _KNOWN_RED.read_text(encoding='utf-8').splitlines():
        if line.strip() and not line.startswith('#'):
            name, _, cause = line.partition(' | ')
            known[name.strip()] = cause.strip()
    if len(known) > _MOST_RED:
        raise SystemExit(f'KNOWN-RED.txt names more than {_MOST_RED} tests')
    return known


if __name__ == '__main__':
    sys.exit(main())
