"""Cache reuse and skew while engines come and go, against baselines.

The same chats return after pauses, first through the fleet, then straight
to the engines by three simple policies. The engines' logs of executions
are the judge.
"""

import asyncio
import collections
import contextlib
import math
import random
import statistics
import time
import typing

import attrs

from bench import control
from bench import registry
from features.steps import fleet_steps
from features.support import calls
from features.support import world as worlds
from honeyport import client
from honeyport import errors
from honeyport.policy import hashing

_ENGINES = 40
_ROUTERS = 9
_CHATS = 900
_RUN_S = 42.0
_WARM_S = 12.0
_CHURN_S = 5.0
_AWAY_S = 3.0
_PAUSE_S = 4.0
_TOKENS = 20
_BOUND = 1.25
_ENGINE = {
    'slots': 24,
    'token_ms': 100.0,
    'first_token_ms': 20.0,
    'miss_ms': 300.0,
    'cache_chats': 60,
}

Send = typing.Callable[[str, int], typing.Awaitable[None]]


@attrs.define
class Judged:
    """What the engines' logs say of one run."""

    returning: int = 0
    hits: int = 0
    possible: int = 0
    skews: list[float] = attrs.field(factory=list)
    over: int = 0
    samples: int = 0


@registry.register('reuse')
async def measure() -> registry.Figures:
    """Measure the fleet and three baselines in one run."""
    figures: registry.Figures = {}
    async with control.scratch() as world:
        world.timing.update(
            {'report_ms': 250, 'lease_ms': 2000, 'probe_ms': 500}
        )
        world.limits['bound'] = _BOUND
        await fleet_steps.start_fleet(
            world, 3, _ROUTERS, _ENGINES, 0, **_ENGINE
        )
        for name, make in (
            ('fleet', _fleet),
            ('hash', _hash),
            ('random', _random),
            ('least', _least),
        ):
            figures.update(await _run(world, name, make(world)))
    return figures


async def _run(world: worlds.World, name: str, send: Send) -> registry.Figures:
    """Run all chats with one policy; return what the logs say."""
    world.executions.write_text('')
    for number in range(1, _ENGINES + 1):
        engine = f'draft-llm-{number}'
        await world.kill(engine)
        world.start(engine, 'standin', 'engine')
    await world.wait_until(
        lambda: fleet_steps.settled(world), 'all engines are up again', 60
    )
    counts: collections.Counter[str] = collections.Counter()
    restarts: dict[str, list[float]] = collections.defaultdict(list)
    started = time.time()
    until = time.monotonic() + _RUN_S
    churn = asyncio.create_task(_churn(world, restarts))
    await asyncio.gather(
        *(
            _chat(number, send, until, random.Random(number), counts)
            for number in range(_CHATS)
        )
    )
    churn.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await churn
    _revive(world)
    judged = _judge(world, started, restarts)
    return {
        f'{name}_reuse': judged.hits / max(1, judged.returning),
        f'{name}_reuse_of_possible': judged.hits / max(1, judged.possible),
        f'{name}_skew_p50': statistics.median(judged.skews),
        f'{name}_skew_p99': _quantile(judged.skews, 0.99),
        f'{name}_over_bound_share': judged.over / judged.samples,
        f'{name}_turns': counts['whole'],
        f'{name}_failed': counts['failed'],
    }


async def _chat(
    number: int,
    send: Send,
    until: float,
    generator: random.Random,
    counts: collections.Counter[str],
) -> None:
    """Send turns of one chat with pauses in between."""
    await asyncio.sleep(generator.uniform(0, _PAUSE_S))
    while time.monotonic() < until:
        try:
            await send(f'chat-{number}', number)
            counts['whole'] += 1
        except (errors.HoneyportError, AssertionError):
            counts['failed'] += 1
        await asyncio.sleep(generator.expovariate(1 / _PAUSE_S))


async def _churn(
    world: worlds.World, restarts: dict[str, list[float]]
) -> None:
    """Kill one engine after another; each comes back a while later."""
    number = 0
    while True:
        await asyncio.sleep(_CHURN_S - _AWAY_S)
        number += 7
        name = f'draft-llm-{number % _ENGINES + 1}'
        await world.kill(name)
        restarts[name].append(time.time())
        await asyncio.sleep(_AWAY_S)
        world.start(name, 'standin', 'engine')


def _revive(world: worlds.World) -> None:
    for name in world.backends:
        if world.processes[name].poll() is not None:
            world.start(name, 'standin', 'engine')


def _judge(
    world: worlds.World,
    started: float,
    restarts: dict[str, list[float]],
) -> Judged:
    """Read reuse and skew off the logs of executions."""
    judged = Judged()
    lines = [
        line
        for event in ('start', 'end', 'cancel')
        for line in world.executions_logged(event)
        if line['time'] >= started
    ]
    lines.sort(key=lambda line: line['time'])
    holders: dict[str, dict[str, float]] = collections.defaultdict(dict)
    for line in lines:
        if line['event'] != 'start':
            continue
        chat, name, now = line['chat'], line['instance'], line['time']
        if line['time'] > started + _WARM_S and holders[chat]:
            judged.returning += 1
            judged.hits += line['hit']
            judged.possible += any(
                not any(then < when <= now for when in restarts[holder])
                for holder, then in holders[chat].items()
            )
        holders[chat][name] = now
    _sample(judged, lines, started, restarts)
    return judged


def _sample(
    judged: Judged,
    lines: list[dict[str, typing.Any]],
    started: float,
    restarts: dict[str, list[float]],
) -> None:
    """Sample the load of the engines ten times a second."""
    events = [
        (line['time'], line['instance'], 1 if line['event'] == 'start' else -1)
        for line in lines
    ]
    for name, times in restarts.items():
        events += [(when, name, 0) for when in times]
    events.sort()
    running: collections.Counter[str] = collections.Counter()
    away: dict[str, float] = {}
    tick = started + _WARM_S
    for when, name, step in events:
        while tick < when and tick < started + _RUN_S:
            _sample_once(judged, running, away, tick)
            tick += 0.1
        if step == 0:
            running[name] = 0
            away[name] = when + _AWAY_S
        else:
            running[name] = max(0, running[name] + step)


def _sample_once(
    judged: Judged,
    running: collections.Counter[str],
    away: dict[str, float],
    now: float,
) -> None:
    live = [
        f'draft-llm-{number}'
        for number in range(1, _ENGINES + 1)
        if away.get(f'draft-llm-{number}', 0) <= now
    ]
    total = sum(running[name] for name in live)
    if not total:
        return
    highest = max(running[name] for name in live)
    judged.samples += 1
    judged.skews.append(highest / (total / len(live)))
    judged.over += highest > math.ceil(_BOUND * total / len(live))


def _quantile(values: list[float], share: float) -> float:
    return sorted(values)[int(len(values) * share)]


def _fleet(world: worlds.World) -> Send:
    """Through the fleet, with the callers' library."""
    addresses = [world.address(name) for name in world.routers]
    callers = [client.Client(addresses, 'district-1') for _ in range(9)]

    async def send(chat: str, number: int) -> None:
        messages = [{'role': 'user', 'content': chat}]
        caller = callers[number % len(callers)]
        async for _ in caller.chat(
            'draft-llm', chat, messages, max_tokens=_TOKENS
        ):
            pass

    return send


def _hash(world: worlds.World) -> Send:
    """Straight to the engine that the chat's hash names; no bound."""
    down: dict[str, float] = {}

    def choose(chat: str, number: int) -> str:
        now = time.monotonic()
        names = [n for n in world.backends if down.get(n, 0) < now]
        return hashing.rank(chat, names, 1)[0]

    return _direct(world, choose, down)


def _random(world: worlds.World) -> Send:
    """Straight to any engine."""
    generator = random.Random(3)
    names = list(world.backends)
    return _direct(world, lambda chat, number: generator.choice(names), {})


def _least(world: worlds.World) -> Send:
    """Straight to the engine with the least of one's own sliver."""
    slivers = [collections.Counter[str]() for _ in range(_ROUTERS)]
    generator = random.Random(5)
    down: dict[str, float] = {}

    def choose(chat: str, number: int) -> str:
        now = time.monotonic()
        sliver = slivers[number % _ROUTERS]
        names = [n for n in world.backends if down.get(n, 0) < now]
        return min(names, key=lambda n: (sliver[n], generator.random()))

    send = _direct(world, choose, down, slivers)
    return send


def _direct(
    world: worlds.World,
    choose: typing.Callable[[str, int], str],
    down: dict[str, float],
    slivers: list[collections.Counter[str]] | None = None,
) -> Send:
    async def send(chat: str, number: int) -> None:
        for _ in range(4):
            name = choose(chat, number)
            if slivers:
                slivers[number % _ROUTERS][name] += 1
            try:
                request = calls.chat_request(
                    chat, tokens=_TOKENS, X_Request_Id=f'{chat}-{time.time()}'
                )
                reply = await calls.send(world.address(name), request)
            finally:
                if slivers:
                    slivers[number % _ROUTERS][name] -= 1
            if reply.status == 200 and not reply.is_interrupted:
                return
            down[name] = time.monotonic() + 1.0
        raise errors.BackendLost(name)

    return send
