"""Play seeds: ``python -m soak many --seeds=1,2 --first=9 --count=4``."""

import asyncio
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
from soak import faults
from soak import operator as soak_operator
from soak import records as soak_records
from soak import site as soak_site

_HOST_VARIABLE = 'HONEYPORT_SOAK_HOST'
_FIRST_HOST = 60  # of 127.0.0.x; the features use those up to 30
_READY_S = 20.0
_CALLERS = 8
_FAULTS = (6, 16)
_CHAOS_S = 12.0
# After the last fault: the platforms' bound on recovery is 12 s; a node on a
# busy machine has imported its modules within 3.
_RECOVERY_S = 8.0
_CALM_S = 4.0


@attrs.frozen
class _Strike:
    """One fault of a plan.

    :ivar at_s: seconds after the callers began
    :ivar seed: of what it disturbs, and for how long
    """

    at_s: float
    name: str
    seed: int


async def _play(
    seed: int, names: tuple[str, ...], folder: pathlib.Path
) -> list[str]:
    """Play one seed; return what was broken."""
    strikes = _draw(seed, names)
    found = soak_records.Records()
    site = soak_site.Site(folder, found, random.Random(seed))
    operator = soak_operator.Operator(site)
    await site.start()
    tasks: list[asyncio.Task[None]] = []
    try:
        async with asyncio.timeout(_READY_S):
            while not found.accepted:
                await operator.change()
        tasks = [
            asyncio.create_task(one)
            for one in (
                operator.run(),
                operator.watch(),
                *(callers.Caller(site).run() for _ in range(_CALLERS)),
            )
        ]
        await asyncio.sleep(1.0)
        kinds = ' '.join(strike.name for strike in strikes)
        print(f'seed {seed}: {kinds}', flush=True)
        await asyncio.gather(
            *(_strike(strike, site, operator) for strike in strikes)
        )
        now = asyncio.get_running_loop().time()
        found.calm_since = now + _RECOVERY_S
        await asyncio.sleep(_RECOVERY_S + _CALM_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await operator.read_at_the_end()
    finally:
        await site.stop()
    broken = checks.violations(found)
    served = sum(one.status == 200 for one in found.ended)
    print(
        f'seed {seed}: {len(found.ended)} requests, {served} served, '
        f'{len(found.accepted)} changes, {len(broken)} broken',
        flush=True,
    )
    return broken


def _draw(seed: int, names: tuple[str, ...]) -> list[_Strike]:
    """Return the faults of a seed, always the same ones.

    :param names: play these instead, at times and with luck of the seed
    """
    chance = random.Random(seed)
    count = chance.randint(*_FAULTS)
    chosen = names or [
        chance.choice(faults.drawn_by(seed)) for _ in range(count)
    ]
    return [
        _Strike(chance.uniform(0, _CHAOS_S), name, chance.getrandbits(32))
        for name in chosen
    ]


async def _strike(
    strike: _Strike, site: soak_site.Site, operator: soak_operator.Operator
) -> None:
    await asyncio.sleep(strike.at_s)
    chance = random.Random(strike.seed)
    await faults.FAULTS[strike.name](site, operator, chance)


def play(seed: int, names: tuple[str, ...] = ()) -> None:
    """Play one seed in this process; exit with 1 if a promise is broken.

    :param names: these faults in place of the seed's own
    """
    local.HOST = os.environ.get(_HOST_VARIABLE, local.HOST)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'honeyport-soak-{seed}-'))
    log = (folder / 'soak.log').open('w')
    logs.configure('error', descriptor=log.fileno(), instance='soak')
    broken = asyncio.run(_play(seed, tuple(names), folder))
    for text in broken[:20]:
        print(f'seed {seed}: broken: {text}')
    if broken:
        print(f'seed {seed}: logs in {folder}')
        sys.exit(1)


def play_many(
    seeds: tuple[int, ...] | int = (),
    first: int = 0,
    count: int = 0,
    jobs: int = 4,
) -> None:
    """Play seeds, several at a time; the last line is the verdict.

    :param seeds: seeds to play
    :param first: the first of ``count`` more in a row
    """
    chosen = [seeds] if isinstance(seeds, int) else list(seeds)
    chosen += range(first, first + count)
    with concurrent.futures.ThreadPoolExecutor(jobs) as workers:
        futures = [
            workers.submit(_play_apart, seed, _FIRST_HOST + number)
            for number, seed in enumerate(chosen)
        ]
        passed = [future.result() for future in futures]
    print(f'{sum(passed)} passed, {len(passed) - sum(passed)} failed')
    sys.exit(0 if all(passed) else 1)


def _play_apart(seed: int, octet: int) -> bool:
    """Play a seed in a process of its own, on hosts of its own."""
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
