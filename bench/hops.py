"""Costs of a request and of a chunk over one hop and over two."""

import asyncio
import pathlib
import statistics
import tempfile

from bench import process
from bench import registry
from features.steps import fleet_steps
from features.support import calls
from features.support import world as worlds

_REQUESTS = 600
_CONCURRENCY = 12
_SHORT_TOKENS = 1
_LONG_TOKENS = 101
_ENGINE = {
    'slots': 32,
    'token_ms': 4.0,
    'first_token_ms': 1.0,
    'miss_ms': 0.0,
}


@registry.register('hops')
async def measure() -> registry.Figures:
    """Measure processor time and the added time to the first token."""
    with tempfile.TemporaryDirectory(prefix='honeyport-bench-') as folder:
        world = worlds.World(pathlib.Path(folder))
        world.limits['bound'] = 100.0
        try:
            await fleet_steps.start_fleet(world, 1, 2, 2, 0, **_ENGINE)
            return await _measure(world)
        finally:
            await world.stop()


async def _measure(world: worlds.World) -> registry.Figures:
    steward = await _find_steward(world, 'draft-llm-1')
    other_router = next(name for name in world.routers if name != steward)
    figures: registry.Figures = {}
    one_hop = await _cpu_costs_ms(world, steward, [steward])
    two_hops = await _cpu_costs_ms(
        world, other_router, [other_router, steward]
    )
    figures['one_hop_request_ms'] = one_hop[0]
    figures['one_hop_chunk_ms'] = one_hop[1]
    figures['two_hops_request_ms'] = two_hops[0]
    figures['two_hops_chunk_ms'] = two_hops[1]
    direct_ms = await _first_token_ms(world, world.address('draft-llm-1'))
    one_hop_ms = await _first_token_ms(world, world.address(steward))
    two_hops_ms = await _first_token_ms(world, world.address(other_router))
    figures['first_token_direct_ms'] = direct_ms
    figures['first_token_added_one_hop_ms'] = one_hop_ms - direct_ms
    figures['first_token_added_two_hops_ms'] = two_hops_ms - direct_ms
    figures['router_resident_mb'] = process.resident_mb(
        world.processes[steward].pid
    )
    return figures


async def _find_steward(world: worlds.World, engine: str) -> str:
    """Return the router that stewards an engine."""
    for name in world.routers:
        stewardships = [
            line
            for line in world.log_lines(name)
            if line['number'] == 3101 and line['backend'] == engine
        ]
        if stewardships:
            return name
    raise LookupError(engine)


async def _cpu_costs_ms(
    world: worlds.World, entry: str, measured: list[str]
) -> tuple[float, float]:
    """Return the processor time of a request and of a chunk in ms.

    :param measured: the routers whose processor time counts
    """
    pids = [world.processes[name].pid for name in measured]
    request_ms = []
    for tokens in (_SHORT_TOKENS, _LONG_TOKENS):
        await _send_turns(world.address(entry), tokens, _REQUESTS // 6)
        cpu_before_s = sum(process.cpu_s(pid) for pid in pids)
        await _send_turns(world.address(entry), tokens, _REQUESTS)
        cpu_after_s = sum(process.cpu_s(pid) for pid in pids)
        request_ms.append((cpu_after_s - cpu_before_s) / _REQUESTS * 1000)
    chunk_ms = (request_ms[1] - request_ms[0]) / (_LONG_TOKENS - _SHORT_TOKENS)
    return request_ms[0], chunk_ms


async def _send_turns(
    address: str, tokens: int, count: int
) -> list[calls.Reply]:
    """Send chat turns with limited concurrency; all have to succeed."""
    slots = asyncio.Semaphore(_CONCURRENCY)

    async def send_turn(number: int) -> calls.Reply:
        async with slots:
            return await calls.send(address, _turn(f'c{number}', tokens))

    replies = await asyncio.gather(
        *(send_turn(number) for number in range(count))
    )
    failed = [reply for reply in replies if reply.status != 200]
    assert not failed, failed[0]
    return replies


async def _first_token_ms(world: worlds.World, address: str) -> float:
    """Return the median time to the first byte of a response in ms."""
    replies = await _send_turns(address, _SHORT_TOKENS, 200)
    return statistics.median(reply.first_byte_s for reply in replies) * 1000


def _turn(chat: str, tokens: int) -> calls.http.Request:
    return calls.chat_request(
        chat, tokens=tokens, Honeyport_Placement='draft-llm-1'
    )
