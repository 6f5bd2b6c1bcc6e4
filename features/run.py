"""Run features; the last line is ``N passed, N failed``.

Every scenario runs in a subprocess on its own loopback host, several at a
time, so that ports never collide, also between parallel test runs. Scenarios
with the tag ``alone`` are sensitive to load; they run one at a time after all
others.

A scenario listed in ``KNOWN-RED.txt`` may fail; it is printed, but not counted
as failed. A listed scenario that passes counts as a failure, unless its cause
begins with "sometimes", which marks failures that occur only under load. The
number of entries is limited; those of scenarios with the tag ``crowd``, about
callers that do not behave, do not count.
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
_KNOWN_FAILURES_FILE = _ROOT / 'KNOWN-RED.txt'
# Maximum numbers of entries in CI and in a working copy.
_MAX_KNOWN_FAILURES_CI = 7
_MAX_KNOWN_FAILURES = 8
_FLAKY_PREFIX = 'sometimes'
_ALONE_TAG = 'alone'
_UNLIMITED_TAG = 'crowd'
_WORKERS = max(1, min(6, (os.cpu_count() or 2) - 2))
_SCENARIO_TIMEOUT_S = 60.0
# Last octets of 127.0.0.x; 127.0.0.1 is the source of connections.
_FIRST_HOST = 2
_LAST_HOST = 250


@attrs.frozen
class Scenario:
    """A scenario, or an example row of a scenario outline.

    :ivar location: ``FILE:LINE``
    :ivar alone: whether no other scenario may run at the same time
    :ivar unlimited: whether its entry does not count towards the limit
    """

    location: str
    name: str
    alone: bool
    unlimited: bool


@attrs.frozen
class Result:
    """The result and the output of a scenario."""

    scenario: Scenario
    passed: bool
    output: str


def main() -> int:
    """Run the features named on the command line, or all.

    :return: exit status, 1 if a scenario failed or none passed
    """
    arguments = sys.argv[1:] or [str(_ROOT / 'features')]
    scenarios = _find_scenarios(arguments)
    parallel = [scenario for scenario in scenarios if not scenario.alone]
    alone = [scenario for scenario in scenarios if scenario.alone]
    results = _run(parallel, _WORKERS) + _run(alone, 1)
    known_causes = _read_known_failures()
    passed = [result.scenario.name for result in results if result.passed]
    failed = [result.scenario.name for result in results if not result.passed]
    known_failed = [name for name in failed if name in known_causes]
    failed = [name for name in failed if name not in known_causes]
    failed += [
        f'{name} (in KNOWN-RED)'
        for name in passed
        if name in known_causes
        and not known_causes[name].startswith(_FLAKY_PREFIX)
    ]
    for name in known_failed:
        print(f'known red: {name}: {known_causes[name]}')
    for name in failed:
        print(f'failed: {name}')
    print(f'{len(passed)} passed, {len(failed)} failed')
    return 1 if failed or not passed else 0


def _find_scenarios(arguments: list[str]) -> list[Scenario]:
    """Return the scenarios in folders, files and ``FILE:LINE`` arguments."""
    scenarios = []
    for argument in arguments:
        path, _, line = argument.partition(':')
        for file in _feature_files(pathlib.Path(path)):
            feature = parser.parse_file(str(file))
            scenarios += [
                Scenario(
                    f'{file}:{scenario.line}',
                    scenario.name.strip(),
                    _ALONE_TAG in scenario.effective_tags,
                    _UNLIMITED_TAG in scenario.effective_tags,
                )
                for scenario in feature.walk_scenarios()
                if not line or scenario.line == int(line)
            ]
    return scenarios


def _feature_files(path: pathlib.Path) -> list[pathlib.Path]:
    return sorted(path.rglob('*.feature')) if path.is_dir() else [path]


def _run(scenarios: list[Scenario], count: int) -> list[Result]:
    """Run scenarios, up to ``count`` at a time; print each result."""
    results = []
    with (
        _reserve_hosts(count) as hosts,
        concurrent.futures.ThreadPoolExecutor(count) as workers,
    ):
        futures = [
            workers.submit(_run_scenario, scenario, hosts)
            for scenario in scenarios
        ]
        for future in concurrent.futures.as_completed(futures):
            result = future.result()
            results.append(result)
            verdict = 'passed' if result.passed else 'FAILED'
            print(f'{verdict}: {result.scenario.name}', flush=True)
            if not result.passed:
                print(result.output, flush=True)
    return results


@contextlib.contextmanager
def _reserve_hosts(count: int) -> collections.abc.Iterator[list[str]]:
    """Reserve loopback hosts by locks that other test runs respect."""
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


def _run_scenario(scenario: Scenario, hosts: list[str]) -> Result:
    """Run a scenario in a subprocess on a free host."""
    host = hosts.pop()
    # A process group, so that a timeout kills all processes of the scenario.
    # Not a session: the kernel schedules by session (autogroups), which
    # starves the scenario under load.
    process = subprocess.Popen(
        [sys.executable, '-m', 'features.run', '--one', scenario.location],
        cwd=_ROOT,
        env={**os.environ, 'HONEYPORT_TEST_HOST': host},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors='replace',
        process_group=0,
    )
    try:
        output, _ = process.communicate(timeout=_SCENARIO_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGKILL)
        output, _ = process.communicate()
        return Result(scenario, False, f'{output}\nthe scenario timed out')
    finally:
        hosts.append(host)
    return Result(scenario, process.returncode == 0, output)


def _run_in_process(location: str) -> int:
    """Run one scenario in this process; return its exit status."""
    # Needed in the subprocesses only.
    from behave import runner

    from honeyport import local

    local.HOST = os.environ['HONEYPORT_TEST_HOST']
    config = configuration.Configuration(
        ['--no-capture', '--format=plain', '--no-summary', location]
    )
    run = runner.Runner(config)
    run.run()
    ran = [
        scenario
        for feature in run.features
        for scenario in feature.walk_scenarios()
        if scenario.status.name != 'skipped'
    ]
    passed = len(ran) == 1 and ran[0].status.name == 'passed'
    return 0 if passed else 1


def _read_known_failures() -> dict[str, str]:
    """Return the causes of known failures by scenario name."""
    if not _KNOWN_FAILURES_FILE.exists():
        return {}
    causes = {}
    for line in _KNOWN_FAILURES_FILE.read_text(encoding='utf-8').splitlines():
        if line.strip() and not line.startswith('#'):
            name, _, cause = line.partition(' | ')
            causes[name.strip()] = cause.strip()
    limit = (
        _MAX_KNOWN_FAILURES_CI if 'CI' in os.environ else _MAX_KNOWN_FAILURES
    )
    unlimited_names = {
        scenario.name
        for scenario in _find_scenarios([str(_ROOT / 'features')])
        if scenario.unlimited
    }
    if len(causes.keys() - unlimited_names) > limit:
        raise SystemExit(f'KNOWN-RED.txt names more than {limit} tests')
    return causes


if __name__ == '__main__':
    if sys.argv[1:2] == ['--one']:
        sys.exit(_run_in_process(sys.argv[2]))
    sys.exit(main())
