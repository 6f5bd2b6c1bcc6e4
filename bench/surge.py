"""Three accounts at ten times their share; what the others feel."""

import asyncio
import random
import time

import attrs

from bench import control
from bench import registry
from features.steps import fleet_steps
from features.support import calls
from features.support import world as worlds

_OTHERS = [f'other-{number}' for number in range(10)]
_LARGE = [f'large-{number}' for number in range(3)]
_RATE_S = 6.0  # turns a second of an account at its share
_TIMES = 10
_RUN_S = 12.0
_WARM_S = 2.0
_TOKENS = 20
_DEADLINE_S = 4.0
_ENGINE = {
    'slots': 8,
    'token_ms': 10.0,
    'first_token_ms': 20.0,
    'miss_ms': 0.0,
}


@attrs.define
class Tally:
    """What a group of accounts got."""

    first_s: list[float] = attrs.field(factory=list)
    refused: int = 0
    failed: int = 0
    sent: int = 0

    def quantile(self, share: float) -> float:
        """Return a quantile of the time to the first token, in ms."""
        ordered = sorted(self.first_s)
        return ordered[int(len(ordered) * share)] * 1000


@registry.register('surge')
async def measure() -> registry.Figures:
    """Measure the others' first tokens without and with the surge."""
    async with control.scratch() as world:
        world.accounts = {name: {'share': 1.0} for name in _OTHERS + _LARGE}
        world.accounts['district-1'] = {}
        world.limits['queue'] = 400
        await fleet_steps.start_fleet(world, 1, 3, 6, 0, **_ENGINE)
        calm = await _phase(world, 1)
        surge = await _phase(world, _TIMES)
    others, large = surge['others'], surge['large']
    before = calm['others'].quantile(0.99)
    return {
        'others_p50_calm_ms': calm['others'].quantile(0.5),
        'others_p50_surge_ms': others.quantile(0.5),
        'others_p99_calm_ms': before,
        'others_p99_surge_ms': others.quantile(0.99),
        'others_p99_ratio': others.quantile(0.99) / before,
        'others_refused_share': others.refused / others.sent,
        'large_p99_surge_ms': large.quantile(0.99),
        'large_refused_share': large.refused / large.sent,
        'failed': others.failed + large.failed,
    }


async def _phase(world: worlds.World, times: int) -> dict[str, Tally]:
    """Send turns of all accounts at their rates."""
    tallies = {'others': Tally(), 'large': Tally()}
    async with asyncio.TaskGroup() as group:
        for name in _OTHERS:
            group.create_task(_account(world, name, 1, tallies['others']))
        for name in _LARGE:
            group.create_task(_account(world, name, times, tallies['large']))
    return tallies


async def _account(
    world: worlds.World, name: str, times: int, tally: Tally
) -> None:
    """Send one account's turns, at seeded arrival times."""
    generator = random.Random(f'{name}-{times}')
    started = time.monotonic()
    async with asyncio.TaskGroup() as group:
        number = 0
        while time.monotonic() < started + _RUN_S:
            await asyncio.sleep(generator.expovariate(_RATE_S * times))
            number += 1
            router = world.routers[generator.randrange(len(world.routers))]
            counts = time.monotonic() > started + _WARM_S
            group.create_task(
                _turn(world, router, f'{name}-{number}', name, tally, counts)
            )


async def _turn(
    world: worlds.World,
    router: str,
    chat: str,
    account: str,
    tally: Tally,
    counts: bool,
) -> None:
    request = calls.chat_request(
        chat,
        account=account,
        tokens=_TOKENS,
        Honeyport_Deadline=str(_DEADLINE_S),
    )
    reply = await calls.send(world.address(router), request)
    if not counts:
        return
    tally.sent += 1
    if reply.status == 200 and reply.is_complete:
        tally.first_s.append(reply.first_byte_s)
    elif reply.status == 429:
        tally.refused += 1
    else:
        tally.failed += 1
