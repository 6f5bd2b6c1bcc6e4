"""What a request and a chunk cost on one hop and on two."""

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
_AT_ONCE = 12
_SHORT = 1
_LONG = 101
_ENGINE = {
    'slots': 32,
    'token_ms': 4.0,
    'first_token_ms': 1.0,
    'miss_ms': 0.0,
}


@registry.register('hops')
async def measure() -> registry.Figures:
    """Measure added processor time and added time to the first token."""
    with tempfile.TemporaryDirectory(prefix='honeyport-bench-') as folder:
        world = worlds.World(pathlib.Path(folder))
        world.limits['bound'] = 100.0
        try:
            await fleet_steps.start_fleet(world, 1, 2, 2, 0, **_ENGINE)
            return await _measure(world)
        finally:
            await world.stop()


async def _measure(world: worlds.World) -> registry.Figures:
    near = await _steward(world, 'draft-llm-1')
    far = next(name for name in world.routers if name != near)
    figures: registry.Figures = {}
    one = await _costs(world, near, [near])
    two = await _costs(world, far, [far, near])
    figures['one_hop_request_ms'] = one[0]
    figures['one_hop_chunk_ms'] = one[1]
    figures['two_hops_request_ms'] = two[0]
    figures['two_hops_chunk_ms'] = two[1]
    direct = await _first_token(world, world.address('draft-llm-1'))
    through = await _first_token(world, world.address(near))
    hopped = await _first_token(world, world.address(far))
    figures['first_token_direct_ms'] = direct
    figures['first_token_added_one_hop_ms'] = through - direct
    figures['first_token_added_two_hops_ms'] = hopped - direct
    figures['router_resident_mb'] = process.resident_mb(
        world.processes[near].pid
    )
    return figures


async def _steward(world: worlds.World, engine: str) -> str:
    """Return the router that stewards an engine."""
    for name in world.routers:
        taken = [
            line
            for line in world.log(name)
            if line['number'] == 3101 and line['backend'] == engine
        ]
        if taken:
            return name
    raise LookupError(engine)


async def _costs(
    world: worlds.World, entry: str, counted: list[str]
) -> tuple[float, float]:
    """Return processor milliseconds for a request and for a chunk."""
    pids = [world.processes[name].pid for name in counted]
    spent = []
    for tokens in (_SHORT, _LONG):
        await _load(world.address(entry), tokens, _REQUESTS // 6)
        before = sum(process.cpu_s(pid) for pid in pids)
        await _load(world.address(entry), tokens, _REQUESTS)
        after = sum(process.cpu_s(pid) for pid in pids)
        spent.append((after - before) / _REQUESTS * 1000)
    chunk = (spent[1] - spent[0]) / (_LONG - _SHORT)
    return spent[0], chunk


async def _load(address: str, tokens: int, count: int) -> list[calls.Reply]:
    """Send many chat turns, a few at once."""
    room = asyncio.Semaphore(_AT_ONCE)

    async def one(number: int) -> calls.Reply:
        async with room:
            return await calls.send(address, _turn(f'c{number}', tokens))

    replies = await asyncio.gather(*(one(number) for number in range(count)))
    failed = [reply for reply in replies if reply.status != 200]
    assert not failed, failed[0]
    return replies


async def _first_token(world: worlds.World, address: str) -> float:
    """Return the median milliseconds to the first byte of an answer."""
    replies = await _load(address, _SHORT, 200)
    return statistics.median(reply.first_byte_s for reply in replies) * 1000


def _turn(chat: str, tokens: int) -> calls.http.Request:
    return calls.chat_request(
        chat, tokens=tokens, Honeyport_Placement='draft-llm-1'
    )
