"""Isolation of client accounts when three exceed their shares tenfold."""

import asyncio
import random
import time

import attrs

from bench import control
from bench import registry
from features.steps import fleet_steps
from features.support import calls
from features.support import world as worlds

_REGULAR_ACCOUNTS = [f'other-{number}' for number in range(10)]
_SURGING_ACCOUNTS = [f'large-{number}' for number in range(3)]
_TURNS_PER_S = 6.0  # of an account at its share
_SURGE_FACTOR = 10
_RUN_S = 12.0
_WARMUP_S = 2.0  # not counted
_TOKENS = 20
_DEADLINE_S = 4.0
_ENGINE = {
    'slots': 8,
    'token_ms': 10.0,
    'first_token_ms': 20.0,
    'miss_ms': 0.0,
}


@attrs.define
class GroupStats:
    """Results of a group of accounts.

    :ivar first_token_s: times to the first token
    :ivar refused: requests refused with 429
    """

    first_token_s: list[float] = attrs.field(factory=list)
    refused: int = 0
    failed: int = 0
    sent: int = 0

    def quantile(self, share: float) -> float:
        """Return a quantile of the time to the first token in ms."""
        ordered = sorted(self.first_token_s)
        return ordered[int(len(ordered) * share)] * 1000


@registry.register('surge')
async def measure() -> registry.Figures:
    """Measure times to the first token without and with a surge."""
    async with control.temporary_world() as world:
        world.accounts = {
            name: {'share': 1.0}
            for name in _REGULAR_ACCOUNTS + _SURGING_ACCOUNTS
        }
        world.accounts['district-1'] = {}
        world.limits['queue'] = 400
        await fleet_steps.start_fleet(world, 1, 3, 6, 0, **_ENGINE)
        calm = await _run_phase(world, 1)
        surge = await _run_phase(world, _SURGE_FACTOR)
    regular, surging = surge['others'], surge['large']
    calm_p99_ms = calm['others'].quantile(0.99)
    return {
        'others_p50_calm_ms': calm['others'].quantile(0.5),
        'others_p50_surge_ms': regular.quantile(0.5),
        'others_p99_calm_ms': calm_p99_ms,
        'others_p99_surge_ms': regular.quantile(0.99),
        'others_p99_ratio': regular.quantile(0.99) / calm_p99_ms,
        'others_refused_share': regular.refused / regular.sent,
        'large_p99_surge_ms': surging.quantile(0.99),
        'large_refused_share': surging.refused / surging.sent,
        'failed': regular.failed + surging.failed,
    }


async def _run_phase(
    world: worlds.World, factor: int
) -> dict[str, GroupStats]:
    """Send turns of all accounts; the surging ones at a multiplied rate."""
    stats_by_group = {'others': GroupStats(), 'large': GroupStats()}
    async with asyncio.TaskGroup() as group:
        for name in _REGULAR_ACCOUNTS:
            group.create_task(
                _send_account(world, name, 1, stats_by_group['others'])
            )
        for name in _SURGING_ACCOUNTS:
            group.create_task(
                _send_account(world, name, factor, stats_by_group['large'])
            )
    return stats_by_group


async def _send_account(
    world: worlds.World, name: str, factor: int, stats: GroupStats
) -> None:
    """Send the turns of an account at seeded Poisson arrival times."""
    generator = random.Random(f'{name}-{factor}')
    started = time.monotonic()
    async with asyncio.TaskGroup() as group:
        number = 0
        while time.monotonic() < started + _RUN_S:
            await asyncio.sleep(generator.expovariate(_TURNS_PER_S * factor))
            number += 1
            router = world.routers[generator.randrange(len(world.routers))]
            is_counted = time.monotonic() > started + _WARMUP_S
            group.create_task(
                _send_turn(
                    world, router, f'{name}-{number}', name, stats, is_counted
                )
            )


async def _send_turn(
    world: worlds.World,
    router: str,
    chat: str,
    account: str,
    stats: GroupStats,
    is_counted: bool,
) -> None:
    request = calls.chat_request(
        chat,
        account=account,
        tokens=_TOKENS,
        Honeyport_Deadline=str(_DEADLINE_S),
    )
    reply = await calls.send(world.address(router), request)
    if not is_counted:
        return
    stats.sent += 1
    if reply.status == 200 and reply.is_complete:
        stats.first_token_s.append(reply.first_byte_s)
    elif reply.status == 429:
        stats.refused += 1
    else:
        stats.failed += 1
