"""Faults injected into the processes and instances of a soak.

Each fault is a function under :func:`fault`; it disturbs something for a
limited time and then restores it.
"""

import asyncio
import collections.abc
import contextlib
import random
import signal

from features.support import crowd
from features.support import platform
from honeyport.policy import queue_keepers
from soak import backend
from soak import operator as soak_operator
from soak import records as soak_records
from soak import site as soak_site

# How long after its end a disturbance still excuses violations.
_AFTERMATH_S = 5.0
_DRAIN_S = 3.0  # from "draining" until no request may arrive

Fault = collections.abc.Callable[
    [soak_site.Site, soak_operator.Operator, random.Random],
    collections.abc.Awaitable[None],
]
FAULTS: dict[str, Fault] = {}
# The first seed that draws each fault; lower seeds keep their plans.
_FIRST_SEEDS: dict[str, int] = {}
_WEIGHTS: dict[str, int] = {}
_SEED_NODES = 3  # named in the settings of each node
_RETRY_AFTER_CHOICES_S = (0.5, 2.0, 4.0)
# Ranges of the interval and the total time of requests that crash instances.
_FATAL_REQUEST_INTERVAL_S = (0.1, 0.5)
_FATAL_REQUESTS_DURATION_S = (4.0, 9.0)
_FATAL_PARTS_DURATION_S = (10.0, 14.0)
_SILENT_SERVICES = ('plain', 'model')
# Callers that do not behave: how many at once, the length of a legal body, and
# what they do. None of their requests is ever whole.
_MISBEHAVING_CALLERS = 20
_MISBEHAVING_BODY_BYTES = 1_000_000
_MISBEHAVIOURS = (
    'bodies that stop short',
    'heads that stop short',
    'large chunks that stop short',
    'nothing',
    'small bodies that stop short',
)
_MISBEHAVING_DURATION_S = (1.0, 6.0)
# From the crash of an instance until it is replaced.
_REPLACEMENT_DELAY_S = 1.0


def fault(function: Fault) -> Fault:
    """Register a fault that every seed may draw."""
    return fault_from_seed(0)(function)


def fault_from_seed(
    seed: int, weight: int = 1
) -> collections.abc.Callable[[Fault], Fault]:
    """Register a fault that only this and higher seeds may draw.

    :param weight: how many times as often as a fault of weight 1 it is drawn
    """

    def register(function: Fault) -> Fault:
        FAULTS[function.__name__] = function
        _FIRST_SEEDS[function.__name__] = seed
        _WEIGHTS[function.__name__] = weight
        return function

    return register


def faults_for_seed(seed: int) -> list[str]:
    """Return the sorted names of the faults that a seed may draw.

    Each name is repeated by its weight.
    """
    return [
        name
        for name in sorted(FAULTS)
        if seed >= _FIRST_SEEDS[name]
        for _ in range(_WEIGHTS[name])
    ]


@contextlib.contextmanager
def _disturbing(
    site: soak_site.Site, *names: str, is_planned: bool = False
) -> collections.abc.Iterator[None]:
    loop = asyncio.get_running_loop()
    disturbances = [
        soak_records.Disturbance(name, loop.time(), is_planned=is_planned)
        for name in names
    ]
    site.records.disturbances += disturbances
    try:
        yield
    finally:
        for disturbance in disturbances:
            disturbance.end = loop.time() + _AFTERMATH_S


def _choose_free_node(
    site: soak_site.Site, candidates: list[platform.Node], rng: random.Random
) -> platform.Node | None:
    """Return a running node that no other fault has reserved, if any."""
    free = [
        node
        for node in candidates
        if not site.reserved.get(node.name)
        and node.process is not None
        and node.process.poll() is None
    ]
    return rng.choice(free) if free else None


@contextlib.contextmanager
def _reserved(
    site: soak_site.Site, *nodes: platform.Node, is_planned: bool = False
) -> collections.abc.Iterator[None]:
    """Reserve nodes for one fault and record them as disturbed."""
    for node in nodes:
        site.reserved[node.name] = True
    names = [node.name for node in nodes]
    try:
        with _disturbing(site, *names, is_planned=is_planned):
            yield
    finally:
        for node in nodes:
            site.reserved[node.name] = False


async def _sleep_random(
    rng: random.Random, min_s: float, max_s: float
) -> None:
    await asyncio.sleep(rng.uniform(min_s, max_s))


async def _kill_simultaneously(
    site: soak_site.Site, nodes: list[platform.Node], rng: random.Random
) -> None:
    if any(site.reserved.get(node.name) for node in nodes):
        return
    with _reserved(site, *nodes):
        for node in nodes:
            site.kill(node)
        await _sleep_random(rng, 0.1, 1.0)
        for node in nodes:
            site.restart(node)


@fault
async def kill(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Kill one process and restart it."""
    node = _choose_free_node(site, site.nodes, rng)
    if node is None:
        return
    with _reserved(site, node):
        site.kill(node)
        await _sleep_random(rng, 0.1, 3.0)
        site.restart(node)


@fault
async def kill_core(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Kill all processes that have a disk at the same time."""
    await _kill_simultaneously(site, site.core, rng)


@fault
async def freeze(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Suspend one process with SIGSTOP and resume it."""
    node = _choose_free_node(site, site.nodes, rng)
    if node is None:
        return
    with _reserved(site, node):
        site.send_signal(node, signal.SIGSTOP)
        await _sleep_random(rng, 0.3, 6.0)
        site.send_signal(node, signal.SIGCONT)


def _choose_keeper(
    site: soak_site.Site, rng: random.Random
) -> platform.Node | None:
    """Return the node that keeps the queue of the small service."""
    name = queue_keepers.find_keeper(
        'desk',
        [
            queue_keepers.Candidate(node.name, frozenset())
            for node in site.nodes
        ],
    )
    keepers = [node for node in site.nodes if node.name == name]
    return _choose_free_node(site, keepers, rng)


@fault_from_seed(11000)
async def kill_keeper(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Kill the keeper of the queue and restart it."""
    node = _choose_keeper(site, rng)
    if node is None:
        return
    with _reserved(site, node):
        site.kill(node)
        await _sleep_random(rng, 0.1, 3.0)
        site.restart(node)


@fault_from_seed(11000)
async def freeze_keeper(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Suspend the keeper of the queue and resume it."""
    node = _choose_keeper(site, rng)
    if node is None:
        return
    with _reserved(site, node):
        site.send_signal(node, signal.SIGSTOP)
        await _sleep_random(rng, 0.1, 3.0)
        site.send_signal(node, signal.SIGCONT)


@fault
async def terminate(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Stop one process with SIGTERM and restart it."""
    node = _choose_free_node(site, site.nodes, rng)
    if node is None:
        return
    with _reserved(site, node, is_planned=True):
        await site.terminate(node)
        site.restart(node)


@fault
async def reload(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Send SIGHUP to a random half of the processes."""
    for node in site.nodes:
        if rng.random() < 0.5 and not site.reserved.get(node.name):
            site.send_signal(node, signal.SIGHUP)


@fault_from_seed(1000)
async def kill_all(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Kill all processes at the same time."""
    await _kill_simultaneously(site, site.nodes, rng)


@fault_from_seed(1000)
async def other_seeds(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Name random nodes as seeds, including nodes without a disk."""
    site.set_seeds(rng.sample(site.nodes, _SEED_NODES))


@fault
async def lose_disk(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Kill one process and restart it with an empty disk, once per soak."""
    node = _choose_free_node(site, site.core, rng)
    if node is None or site.disk_lost:
        return
    with _reserved(site, node):
        site.kill(node)
        site.lose_disk(node)
        await _sleep_random(rng, 0.1, 2.0)
        site.restart(node)


@fault
async def silence(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Drop all traffic to an instance, from it, or both."""
    relay = rng.choice(site.instances).relay
    to_target, from_target = rng.choice(
        [(True, True), (True, False), (False, True)]
    )
    relay.cut(to_target=to_target, from_target=from_target)
    await _sleep_random(rng, 0.5, 4.0)
    relay.heal()


@fault
async def delay(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Delay all traffic to and from one instance."""
    relay = rng.choice(site.instances).relay
    relay.delay_s = rng.uniform(0.05, 0.5)
    await _sleep_random(rng, 1.0, 4.0)
    relay.delay_s = 0.0


@fault
async def reset(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Close the connections to one instance several times."""
    instance = rng.choice(site.instances)
    for _ in range(rng.randint(1, 5)):
        instance.close_connections()
        await _sleep_random(rng, 0.05, 0.5)


@fault
async def mood(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Make one instance fail its requests in one failure mode."""
    instance = rng.choice(site.instances)
    instance.failure_mode = rng.choice(backend.FAILURE_MODES)
    await _sleep_random(rng, 1.0, 5.0)
    instance.failure_mode = ''


@fault_from_seed(40000, weight=6)
async def silent_instances(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Let the instances of a service be silent beside planned work."""
    service = rng.choice(_SILENT_SERVICES)
    fall_silent = rng.choice((_all_silent, _silent_in_turn, _silent_for_good))
    beside = rng.choice((terminate, reload, storm))
    instances = [
        instance for instance in site.instances if instance.service == service
    ]
    await asyncio.gather(
        fall_silent(site, instances, rng), beside(site, operator, rng)
    )


async def _all_silent(
    site: soak_site.Site,
    instances: list[backend.Instance],
    rng: random.Random,
) -> None:
    """Make instances silent together, some times."""
    for _ in range(rng.randint(1, 3)):
        await _silence(instances, rng)


async def _silent_in_turn(
    site: soak_site.Site,
    instances: list[backend.Instance],
    rng: random.Random,
) -> None:
    """Make instances silent one by one."""
    for instance in instances:
        await _silence([instance], rng)


async def _silent_for_good(
    site: soak_site.Site,
    instances: list[backend.Instance],
    rng: random.Random,
) -> None:
    """Make some instances silent until they are replaced."""
    chosen = rng.sample(instances, rng.randint(1, len(instances)))
    for instance in chosen:
        instance.failure_mode = 'silent'
    await _sleep_random(rng, 1.0, 4.0)
    for instance in chosen:
        await _replace(site, instance)


async def _silence(
    instances: list[backend.Instance], rng: random.Random
) -> None:
    await _sleep_random(rng, 0.0, 0.5)
    for instance in instances:
        instance.failure_mode = 'silent'
    await _sleep_random(rng, 0.8, 1.8)
    for instance in instances:
        instance.failure_mode = ''


@fault
async def replace_instance(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Add an instance, then drain and remove another."""
    ready = [
        candidate for candidate in site.instances if candidate.state == 'ready'
    ]
    instance = rng.choice(ready)
    await site.add_instance(instance.service)
    await _sleep_random(rng, 0.1, 1.0)
    await _drain(site, instance)


async def _drain(site: soak_site.Site, instance: backend.Instance) -> None:
    """Drain and remove an instance."""
    instance.state = 'draining'
    site.publish_list()
    drain_start = asyncio.get_running_loop().time()
    site.records.removed_instances.append(
        (instance.name, drain_start + _DRAIN_S)
    )
    await asyncio.sleep(_DRAIN_S + 1.0)
    await site.remove_instance(instance)


@fault_from_seed(9000)
async def broken_streams(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Make some engines break off each stream, with or without framing."""
    engines = [
        instance for instance in site.instances if instance.service == 'model'
    ]
    chosen = rng.sample(engines, rng.randint(1, len(engines)))
    for instance in chosen:
        instance.failure_mode = rng.choice(('cut', 'unframed'))
    await _sleep_random(rng, 1.0, 5.0)
    for instance in chosen:
        instance.failure_mode = ''


@fault_from_seed(9000)
async def release(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Add engines of a new software version, then remove older ones."""
    older = [
        instance
        for instance in site.instances
        if instance.service == 'model' and instance.state == 'ready'
    ]
    number = int(site.versions['model'].removeprefix('v')) + 1
    for _ in range(2):
        await site.add_instance('model', f'v{number}')
        await _sleep_random(rng, 0.0, 1.0)
    await _sleep_random(rng, 0.5, 4.0)
    for instance in rng.sample(older, rng.randint(0, min(2, len(older)))):
        await _drain(site, instance)


@fault
async def crash_instance(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Stop one instance without notice and remove it from the list later."""
    instance = rng.choice(site.instances)
    await instance.stop()
    await _sleep_random(rng, 0.5, 3.0)
    await site.remove_instance(instance)
    await site.add_instance(instance.service)


@fault
async def list_fails(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Make the platform's instance list return errors."""
    site.list_available = False
    with _disturbing(site, *(node.name for node in site.nodes)):
        await _sleep_random(rng, 0.5, 4.0)
    site.list_available = True


@fault
async def storm(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Send configurations in quick succession."""
    for _ in range(rng.randint(3, 15)):
        await operator.change()


@fault
async def race(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Send two configurations with the same version concurrently."""
    await operator.send_conflicting()


@fault
async def invalid(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Send a configuration that fails validation."""
    await operator.send_invalid()


@fault_from_seed(2000)
async def ending_request(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Repeat a request that crashes every instance that executes it."""
    duration_s = rng.uniform(*_FATAL_REQUESTS_DURATION_S)
    await _send_fatal_requests(site, rng, duration_s)


@fault_from_seed(10000)
async def ending_part(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Send requests whose prompts have one part that crashes instances."""
    part = f'{backend.FATAL_PART_PREFIX}{rng.getrandbits(16):04x}'
    duration_s = rng.uniform(*_FATAL_PARTS_DURATION_S)
    await _send_fatal_requests(site, rng, duration_s, part)


async def _send_fatal_requests(
    site: soak_site.Site,
    rng: random.Random,
    duration_s: float,
    part: str = '',
) -> None:
    """Send requests that crash instances, and replace these.

    :param part: the id of the prompt part that crashes them, if it is one
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + duration_s
    async with asyncio.TaskGroup() as group:
        while loop.time() < deadline:
            node = rng.choice(site.nodes)
            group.create_task(site.send_fatal_request(node, part))
            await _sleep_random(rng, *_FATAL_REQUEST_INTERVAL_S)
            for instance in site.take_crashed():
                group.create_task(_replace(site, instance))
    for instance in site.take_crashed():
        await _replace(site, instance)


async def _replace(site: soak_site.Site, instance: backend.Instance) -> None:
    """Replace an instance some time after it failed."""
    await asyncio.sleep(_REPLACEMENT_DELAY_S)
    await site.remove_instance(instance)
    await site.add_instance(instance.service)


@fault_from_seed(3000)
async def resting(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Make some instances reject all requests with ``Retry-After``."""
    count = rng.randint(1, len(site.instances))
    overloaded = rng.sample(site.instances, count)
    retry_after_s = rng.choice(_RETRY_AFTER_CHOICES_S)
    with _disturbing(site, *(instance.name for instance in overloaded)):
        for instance in overloaded:
            instance.retry_after_s = retry_after_s
        await _sleep_random(rng, 1.0, 5.0)
        for instance in overloaded:
            instance.retry_after_s = 0.0


@fault_from_seed(3000)
async def leaving_by_word(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Announce the shutdown of an instance long before the list shows it."""
    instance = rng.choice(site.instances)
    await site.add_instance(instance.service)
    instance.announces_shutdown = True
    await _sleep_random(rng, 3.5, 6.0)
    await site.remove_instance(instance)


@fault_from_seed(77000)
async def misbehaving_callers(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    rng: random.Random,
) -> None:
    """Let callers send incomplete requests to a node, stand still and leave.

    The node is not reserved, so that signals and restarts may hit it
    meanwhile.
    """
    node = rng.choice(site.nodes)
    key = rng.choice((soak_site.MAIN_KEY, 'unknown'))
    target = crowd.Target(
        host=node.ip,
        port=site.ports[0],
        path='/app/x',
        body_bytes=_MISBEHAVING_BODY_BYTES,
        headers={
            'Host': soak_site.HOST,
            'Authorization': f'Bearer {key}',
            'Attempt-Id': 'misbehaving-{id}',
            'Deadline-Ms': '60000',
        },
    )
    callers = crowd.Crowd(
        rng.choice(_MISBEHAVIOURS), target, _MISBEHAVING_CALLERS
    )
    with _disturbing(site, node.name):
        try:
            await callers.come()
            await _sleep_random(rng, *_MISBEHAVING_DURATION_S)
        finally:
            await callers.leave()
