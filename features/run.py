"""Runs all features; the last line is ``N passed, N failed``.

Every scenario runs in a process of its own, several at a time, each on a
loopback host of its own, so that no two want the same port, also where two
checkouts are tested at once. Those with the tag ``alone`` judge what shows
only with processor time to spare; they run one at a time, after all others.

A scenario named in ``KNOWN-RED.txt`` may fail: it is printed, and counts
neither way. One that is named there and passes counts as a failure, so
that the list stays true; but where its cause begins with "sometimes", it
shows only under load and may pass.
"""

import collections.abc
import concurrent.futures
import contextlib
import fcntl
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

import attrs
from behave import configuration
from behave import parser

_ROOT = pathlib.Path(__file__).parent.parent
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'
# In what lands; while faults are worked on, each has its failing test listed.
_MOST_RED = 3
_MOST_RED_AT_WORK = 8
_SOMETIMES = 'sometimes'
_ALONE = 'alone'
_WORKERS = max(1, min(6, (os.cpu_count() or 2) - 2))
# A scenario that has not ended by then hangs; the longest takes 25 s.
_LONGEST_S = 60.0
_FIRST_HOST = 2  # 127.0.0.1 is left to connections that go out
_LAST_HOST = 250


@attrs.frozen
class Scenario:
    """One scenario, or one row of an outline."""

    place: str
    name: str
    alone: bool


@attrs.frozen
class Result:
    """How a scenario ended, and what it printed."""

    scenario: Scenario
    passed: bool
    output: str


def main() -> int:
    """Run the features that the command line names, or all."""
    arguments = sys.argv[1:] or [str(_ROOT / 'features')]
    scenarios = _scenarios(arguments)
    together = [one for one in scenarios if not one.alone]
    alone = [one for one in scenarios if one.alone]
    results = _run(together, _WORKERS) + _run(alone, 1)
    known = _known_red()
    passed = [one.scenario.name for one in results if one.passed]
    failed = [one.scenario.name for one in results if not one.passed]
    red = [name for name in failed if name in known]
    failed = [name for name in failed if name not in known]
    failed += [
        f'{name} (in KNOWN-RED)'
        for name in passed
        if name in known and not known[name].startswith(_SOMETIMES)
    ]
    for name in red:
        print(f'known red: {name}: {known[name]}')
    for name in failed:
        print(f'failed: {name}')
    print(f'{len(passed)} passed, {len(failed)} failed')
    return 1 if failed or not passed else 0


def _scenarios(arguments: list[str]) -> list[Scenario]:
    """Return the scenarios in folders, files, and lines of files."""
    found = []
    for argument in arguments:
        path, _, line = argument.partition(':')
        for file in _files(pathlib.Path(path)):
            feature = parser.parse_file(str(file))
            found += [
                Scenario(
                    f'{file}:{one.line}',
                    one.name,
                    _ALONE in one.effective_tags,
                )
                for one in feature.walk_scenarios()
                if not line or one.line == int(line)
            ]
    return found


def _files(path: pathlib.Path) -> list[pathlib.Path]:
    return sorted(path.rglob('*.feature')) if path.is_dir() else [path]


def _run(scenarios: list[Scenario], count: int) -> list[Result]:
    """Run so many scenarios at once; print each result as it comes."""
    results = []
    with (
        _own_hosts(count) as hosts,
        concurrent.futures.ThreadPoolExecutor(count) as workers,
    ):
        waiting = [
            workers.submit(_run_one, scenario, hosts) for scenario in scenarios
        ]
        for future in concurrent.futures.as_completed(waiting):
            result = future.result()
            results.append(result)
            verdict = 'passed' if result.passed else 'FAILED'
            print(f'{verdict}: {result.scenario.name}', flush=True)
            if not result.passed:
                print(result.output, flush=True)
    return results


@contextlib.contextmanager
def _own_hosts(count: int) -> collections.abc.Iterator[list[str]]:
    """Give out loopback hosts that no other run uses meanwhile."""
    hosts: list[str] = []
    with contextlib.ExitStack() as locks:
        for number in range(_FIRST_HOST, _LAST_HOST + 1):
            host = f'127.0.0.{number}'
            path = pathlib.Path(tempfile.gettempdir(), f'honeyport-{host}')
            lock = locks.enter_context(path.open('a'))
            with contextlib.suppress(BlockingIOError):
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                hosts.append(host)
            if len(hosts) == count:
                break
        yield hosts


def _run_one(scenario: Scenario, hosts: list[str]) -> Result:
    """Run a scenario on a host that no other one uses now."""
    host = hosts.pop()
    # In a group of its own, so that a scenario that hangs is ended with all
    # processes that it started: they would keep their ports. No session of
    # its own: the kernel shares out processors by sessions, and beside load
    # a leader then lost its lease in 22 of 54 runs, in none of 54 without.
    process = subprocess.Popen(
        [sys.executable, '-m', 'features.run', '--one', scenario.place],
        cwd=_ROOT,
        env={**os.environ, 'HONEYPORT_TEST_HOST': host},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors='replace',
        process_group=0,
    )
    try:
        output, _ = process.communicate(timeout=_LONGEST_S)
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGKILL)
        output, _ = process.communicate()
        return Result(scenario, False, f'{output}\nit did not end')
    finally:
        hosts.append(host)
    return Result(scenario, process.returncode == 0, output)


def _behave(place: str) -> int:
    """Run one scenario in this process; return whether it failed."""
    # Imported here: the process that starts the others needs none of it.
    from behave import runner

    from honeyport import local

    local.HOST = os.environ['HONEYPORT_TEST_HOST']
    config = configuration.Configuration(
        ['--no-capture', '--format=plain', '--no-summary', place]
    )
    run = runner.Runner(config)
    run.run()
    ran = [
        scenario
        for feature in run.features
        for scenario in feature.walk_scenarios()
        if scenario.status.name != 'skipped'
    ]
    good = len(ran) == 1 and ran[0].status.name == 'passed'
    return 0 if good else 1


def _known_red() -> dict[str, str]:
    """Return the scenarios that are known to fail, with their causes."""
    if not _KNOWN_RED.exists():
        return {}
    known = {}
    for line in _KNOWN_RED.read_text(encoding='utf-8').splitlines():
        if line.strip() and not line.startswith('#'):
            name, _, cause = line.partition(' | ')
            known[name.strip()] = cause.strip()
    most = _MOST_RED if 'CI' in os.environ else _MOST_RED_AT_WORK
    if len(known) > most:
        raise SystemExit(f'KNOWN-RED.txt names more than {most} tests')
    return known


if __name__ == '__main__':
    if sys.argv[1:2] == ['--one']:
        sys.exit(_behave(sys.argv[2]))
    sys.exit(main())
