"""Cache reuse and load skew under engine churn, against baselines.

The same chats return after pauses, first through the fleet, then directly
to the engines by three simple policies. Reuse and skew are computed from
the execution logs of the engines.
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
_WARMUP_S = 12.0  # not counted
_KILL_INTERVAL_S = 5.0
_DOWNTIME_S = 3.0  # of a killed engine
_CHAT_PAUSE_S = 4.0  # mean, between two turns of a chat
_TOKENS = 20
_LOAD_BOUND = 1.25  # highest load over the mean
_ENGINE = {
    'slots': 24,
    'token_ms': 100.0,
    'first_token_ms': 20.0,
    'miss_ms': 300.0,
    'cache_chats': 60,
}

Send = typing.Callable[[str, int], typing.Awaitable[None]]


@attrs.define
class RunStats:
    """Statistics of a run, from the execution logs.

    :ivar returning: turns of chats that an engine has served before
    :ivar hits: returning turns that found their prefix in the cache
    :ivar possible: returning turns whose prefix an engine still held
    :ivar skews: samples of the highest load over the mean
    :ivar over: samples above the load bound
    """

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
    async with control.temporary_world() as world:
        world.timing.update(
            {'report_ms': 250, 'lease_ms': 2000, 'probe_ms': 500}
        )
        world.limits['bound'] = _LOAD_BOUND
        await fleet_steps.start_fleet(
            world, 3, _ROUTERS, _ENGINES, 0, **_ENGINE
        )
        for name, make_send in (
            ('fleet', _fleet),
            ('hash', _hash),
            ('random', _random),
            ('least', _least),
        ):
            figures.update(await _run(world, name, make_send(world)))
    return figures


async def _run(world: worlds.World, name: str, send: Send) -> registry.Figures:
    """Run all chats with one policy; return its figures."""
    world.executions_path.write_text('')
    for number in range(1, _ENGINES + 1):
        engine = f'draft-llm-{number}'
        await world.kill(engine)
        world.start(engine, 'standin', 'engine')
    await world.wait_until(
        lambda: fleet_steps.all_backends_serve(world),
        'all engines are up again',
        60,
    )
    counts: collections.Counter[str] = collections.Counter()
    restarts: dict[str, list[float]] = collections.defaultdict(list)
    started = time.time()
    deadline = time.monotonic() + _RUN_S
    churn = asyncio.create_task(_churn(world, restarts))
    await asyncio.gather(
        *(
            _chat(number, send, deadline, random.Random(number), counts)
            for number in range(_CHATS)
        )
    )
    churn.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await churn
    _restart_engines(world)
    stats = _analyze_logs(world, started, restarts)
    return {
        f'{name}_reuse': stats.hits / max(1, stats.returning),
        f'{name}_reuse_of_possible': stats.hits / max(1, stats.possible),
        f'{name}_skew_p50': statistics.median(stats.skews),
        f'{name}_skew_p99': _quantile(stats.skews, 0.99),
        f'{name}_over_bound_share': stats.over / stats.samples,
        f'{name}_turns': counts['complete'],
        f'{name}_failed': counts['failed'],
    }


async def _chat(
    number: int,
    send: Send,
    deadline: float,
    generator: random.Random,
    counts: collections.Counter[str],
) -> None:
    """Send turns of one chat with random pauses until the deadline."""
    await asyncio.sleep(generator.uniform(0, _CHAT_PAUSE_S))
    while time.monotonic() < deadline:
        try:
            await send(f'chat-{number}', number)
            counts['complete'] += 1
        except (errors.HoneyportError, AssertionError):
            counts['failed'] += 1
        await asyncio.sleep(generator.expovariate(1 / _CHAT_PAUSE_S))


async def _churn(
    world: worlds.World, restarts: dict[str, list[float]]
) -> None:
    """Kill one engine after another and restart each after its downtime."""
    number = 0
    while True:
        await asyncio.sleep(_KILL_INTERVAL_S - _DOWNTIME_S)
        number += 7
        name = f'draft-llm-{number % _ENGINES + 1}'
        await world.kill(name)
        restarts[name].append(time.time())
        await asyncio.sleep(_DOWNTIME_S)
        world.start(name, 'standin', 'engine')


def _restart_engines(world: worlds.World) -> None:
    for name in world.backends:
        if world.processes[name].poll() is not None:
            world.start(name, 'standin', 'engine')


def _analyze_logs(
    world: worlds.World,
    started: float,
    restarts: dict[str, list[float]],
) -> RunStats:
    """Compute reuse and skew from the execution logs."""
    stats = RunStats()
    lines = [
        line
        for event in ('start', 'end', 'cancel')
        for line in world.executions_logged(event)
        if line['time'] >= started
    ]
    lines.sort(key=lambda line: line['time'])
    last_served: dict[str, dict[str, float]] = collections.defaultdict(dict)
    for line in lines:
        if line['event'] != 'start':
            continue
        chat, name, now = line['chat'], line['instance'], line['time']
        if line['time'] > started + _WARMUP_S and last_served[chat]:
            stats.returning += 1
            stats.hits += line['hit']
            stats.possible += any(
                not any(
                    served_at < killed_at <= now
                    for killed_at in restarts[engine]
                )
                for engine, served_at in last_served[chat].items()
            )
        last_served[chat][name] = now
    _sample(stats, lines, started, restarts)
    return stats


def _sample(
    stats: RunStats,
    lines: list[dict[str, typing.Any]],
    started: float,
    restarts: dict[str, list[float]],
) -> None:
    """Sample the loads of the engines every 0.1 s."""
    events = [
        (line['time'], line['instance'], 1 if line['event'] == 'start' else -1)
        for line in lines
    ]
    for name, times in restarts.items():
        events += [(killed_at, name, 0) for killed_at in times]
    events.sort()
    running: collections.Counter[str] = collections.Counter()
    down_until: dict[str, float] = {}
    sample_at = started + _WARMUP_S
    for event_at, name, step in events:
        while sample_at < event_at and sample_at < started + _RUN_S:
            _sample_once(stats, running, down_until, sample_at)
            sample_at += 0.1
        if step == 0:
            running[name] = 0
            down_until[name] = event_at + _DOWNTIME_S
        else:
            running[name] = max(0, running[name] + step)


def _sample_once(
    stats: RunStats,
    running: collections.Counter[str],
    down_until: dict[str, float],
    now: float,
) -> None:
    live_engines = [
        f'draft-llm-{number}'
        for number in range(1, _ENGINES + 1)
        if down_until.get(f'draft-llm-{number}', 0) <= now
    ]
    total = sum(running[name] for name in live_engines)
    if not total:
        return
    highest_load = max(running[name] for name in live_engines)
    stats.samples += 1
    stats.skews.append(highest_load / (total / len(live_engines)))
    stats.over += highest_load > math.ceil(
        _LOAD_BOUND * total / len(live_engines)
    )


def _quantile(values: list[float], share: float) -> float:
    return sorted(values)[int(len(values) * share)]


def _fleet(world: worlds.World) -> Send:
    """Return a sender through the fleet, with the client library."""
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
    """Return a sender to the engine of the chat's hash, without a bound."""
    retry_at: dict[str, float] = {}

    def choose(chat: str, number: int) -> str:
        now = time.monotonic()
        names = [
            name for name in world.backends if retry_at.get(name, 0) < now
        ]
        return hashing.rank(chat, names, 1)[0]

    return _direct(world, choose, retry_at)


def _random(world: worlds.World) -> Send:
    """Return a sender to a random engine."""
    generator = random.Random(3)
    names = list(world.backends)
    return _direct(world, lambda chat, number: generator.choice(names), {})


def _least(world: worlds.World) -> Send:
    """Return a sender to the engine with the least load of one router.

    Each of the ``_ROUTERS`` routers counts only its own requests.
    """
    loads_by_router = [collections.Counter[str]() for _ in range(_ROUTERS)]
    generator = random.Random(5)
    retry_at: dict[str, float] = {}

    def choose(chat: str, number: int) -> str:
        now = time.monotonic()
        own_load = loads_by_router[number % _ROUTERS]
        names = [
            name for name in world.backends if retry_at.get(name, 0) < now
        ]
        return min(
            names, key=lambda name: (own_load[name], generator.random())
        )

    send = _direct(world, choose, retry_at, loads_by_router)
    return send


def _direct(
    world: worlds.World,
    choose: typing.Callable[[str, int], str],
    retry_at: dict[str, float],
    loads_by_router: list[collections.Counter[str]] | None = None,
) -> Send:
    async def send(chat: str, number: int) -> None:
        for _ in range(4):
            name = choose(chat, number)
            if loads_by_router:
                loads_by_router[number % _ROUTERS][name] += 1
            try:
                request = calls.chat_request(
                    chat, tokens=_TOKENS, X_Request_Id=f'{chat}-{time.time()}'
                )
                reply = await calls.send(world.address(name), request)
            finally:
                if loads_by_router:
                    loads_by_router[number % _ROUTERS][name] -= 1
            if reply.status == 200 and not reply.is_interrupted:
                return
            retry_at[name] = time.monotonic() + 1.0
        raise errors.BackendLost(name)

    return send
