"""Run soaks: ``python -m soak many --seeds=1,2 --first=9 --count=4``."""

import asyncio
import collections.abc
import concurrent.futures
import os
import pathlib
import random
import subprocess
import sys
import tempfile

import attrs
import fire

from honeyport import local
from honeyport.telemetry import log as logs
from soak import callers
from soak import checks
from soak import crowd as soak_crowd
from soak import faults
from soak import operator as soak_operator
from soak import records as soak_records
from soak import site as soak_site

_HOST_VARIABLE = 'HONEYPORT_SOAK_HOST'
_FIRST_HOST = 60  # last octet of 127.0.0.x
_STARTUP_TIMEOUT_S = 20.0
_CALLERS = 8
# Sites of this and higher seeds have a service with few slots.
_FIRST_SMALL_SEED = 11000
# From the first requests until the first keeper grants, and those that were
# sent before have ended.
_FIRST_GRANT_S = 4.0
_FAULT_COUNT = (6, 16)  # (minimum, maximum)
_FAULT_WINDOW_S = 12.0  # in which all faults begin
# From the end of the last fault until requests have to be served again.
_RECOVERY_S = 8.0
_AFTER_RECOVERY_S = 4.0  # traffic that service_recovers checks


@attrs.frozen
class _PlannedFault:
    """A scheduled fault.

    :ivar start_s: seconds after the callers started
    :ivar name: key in :data:`faults.FAULTS`
    :ivar seed: seeds the targets and durations of the fault
    """

    start_s: float
    name: str
    seed: int


async def _play(
    seed: int, names: tuple[str, ...], folder: pathlib.Path
) -> list[str]:
    """Run the soak of one seed; return the violations."""
    plan = _draw_plan(seed, names)
    records = soak_records.Records()
    site = soak_site.Site(
        folder,
        records,
        random.Random(seed),
        has_small_service=seed >= _FIRST_SMALL_SEED,
    )
    crowd = soak_crowd.Crowd(site, random.Random(seed + 1))
    operator = soak_operator.Operator(site)
    await site.start()
    tasks: list[asyncio.Task[None]] = []
    try:
        async with asyncio.timeout(_STARTUP_TIMEOUT_S):
            while not records.accepted:
                await operator.change()
        tasks = [
            asyncio.create_task(activity)
            for activity in (
                operator.run_changes(),
                operator.run_reads(),
                *(callers.Caller(site).run() for _ in range(_CALLERS)),
                *_crowd_activities(crowd, site),
            )
        ]
        records.queues_expected_at = (
            asyncio.get_running_loop().time() + _FIRST_GRANT_S
        )
        await asyncio.sleep(1.0)
        names_text = ' '.join(planned.name for planned in plan)
        print(f'seed {seed}: {names_text}', flush=True)
        await asyncio.gather(
            *(_inject(planned, site, operator) for planned in plan)
        )
        now = asyncio.get_running_loop().time()
        records.recovery_deadline = now + _RECOVERY_S
        await asyncio.sleep(_RECOVERY_S + _AFTER_RECOVERY_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await crowd.stop()
        await operator.read_final_configuration()
    finally:
        await site.stop()
    violations = checks.violations(records)
    served = sum(result.status == 200 for result in records.results)
    peak_mb = max(records.peak_memory_mb.values(), default=0.0)
    granted = len(checks.held_under_grants(records))
    left = sum(
        checks.find_left_silence(records, result) is not None
        for result in records.results
    )
    went_on = sum(stream.went_on for stream in records.streams)
    print(
        f'seed {seed}: {len(records.results)} requests, {served} served, '
        f'{went_on} of {len(records.streams)} streams taken up went on, '
        f'{len(records.accepted)} changes, {len(violations)} violations'
        f'; {len(records.silences)} requests met silence, {left} ended in it'
        f'; {len(records.held_by_instances)} requests to few slots, '
        f'{granted} of them under grants, {peak_mb:.0f} MB',
        flush=True,
    )
    return violations


def _crowd_activities(
    crowd: soak_crowd.Crowd, site: soak_site.Site
) -> list[collections.abc.Coroutine[None, None, None]]:
    if not site.has_small_service:
        return []
    return [crowd.run_requests(), crowd.run_readers(), crowd.watch_memory()]


def _draw_plan(seed: int, names: tuple[str, ...]) -> list[_PlannedFault]:
    """Return the plan of a seed, which is the same on every call.

    :param names: inject these faults instead of drawn ones; their times and
        seeds are still drawn
    """
    rng = random.Random(seed)
    count = rng.randint(*_FAULT_COUNT)
    planned_names = names or [
        rng.choice(faults.faults_for_seed(seed)) for _ in range(count)
    ]
    return [
        _PlannedFault(
            rng.uniform(0, _FAULT_WINDOW_S), name, rng.getrandbits(32)
        )
        for name in planned_names
    ]


async def _inject(
    planned: _PlannedFault,
    site: soak_site.Site,
    operator: soak_operator.Operator,
) -> None:
    await asyncio.sleep(planned.start_s)
    rng = random.Random(planned.seed)
    await faults.FAULTS[planned.name](site, operator, rng)


def play(seed: int, names: tuple[str, ...] = ()) -> None:
    """Run one seed in this process; exit with 1 if an invariant is violated.

    :param names: inject these faults instead of drawn ones
    """
    local.HOST = os.environ.get(_HOST_VARIABLE, local.HOST)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'honeyport-soak-{seed}-'))
    log = (folder / 'soak.log').open('w')
    logs.configure('error', descriptor=log.fileno(), instance='soak')
    violations = asyncio.run(_play(seed, tuple(names), folder))
    for text in violations[:20]:
        print(f'seed {seed}: violation: {text}')
    if violations:
        print(f'seed {seed}: logs in {folder}')
        sys.exit(1)


def play_many(
    seeds: tuple[int, ...] | int = (),
    first: int = 0,
    count: int = 0,
    jobs: int = 4,
) -> None:
    """Run several seeds in parallel; print ``N passed, N failed`` last.

    :param seeds: the seeds to run
    :param first: the first of ``count`` consecutive further seeds
    :param count: number of seeds from ``first``
    :param jobs: number of seeds that run at a time
    """
    all_seeds = [seeds] if isinstance(seeds, int) else list(seeds)
    all_seeds += range(first, first + count)
    with concurrent.futures.ThreadPoolExecutor(jobs) as workers:
        futures = [
            workers.submit(_play_in_subprocess, seed, _FIRST_HOST + number)
            for number, seed in enumerate(all_seeds)
        ]
        passed = [future.result() for future in futures]
    print(f'{sum(passed)} passed, {len(passed) - sum(passed)} failed')
    sys.exit(0 if all(passed) else 1)


def _play_in_subprocess(seed: int, octet: int) -> bool:
    """Run a seed in a subprocess on its own loopback host."""
    result = subprocess.run(
        [sys.executable, '-m', 'soak', 'play', str(seed)],
        env={**os.environ, _HOST_VARIABLE: f'127.0.0.{octet}'},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    print(result.stdout, end='', flush=True)
    return result.returncode == 0


if __name__ == '__main__':
    fire.Fire({'play': play, 'many': play_many})
