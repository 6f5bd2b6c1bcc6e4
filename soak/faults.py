"""What is done to the processes, from outside.

Each fault is a function under :func:`fault`; it disturbs something for a
while and mends it again.
"""

import asyncio
import collections.abc
import contextlib
import random
import signal

from features.support import platform
from soak import backend
from soak import operator as soak_operator
from soak import records as soak_records
from soak import site as soak_site

# How long after its end a disturbance still counts, in seconds: a platform's
# page says 3; processes on a busy machine are slower.
_AFTER_S = 5.0
_DRAIN_S = 3.0

Fault = collections.abc.Callable[
    [soak_site.Site, soak_operator.Operator, random.Random],
    collections.abc.Awaitable[None],
]
FAULTS: dict[str, Fault] = {}
# The first seed that draws a fault. Lower ones were played before it was
# added, and keep the plans that they had.
_SINCE: dict[str, int] = {}
_SEEDS = 3  # instances that the platform names to each
_RESTS_S = (0.5, 2.0, 4.0)
# How often the request that ends instances comes, in seconds, and how long.
_COMES_S = (0.1, 0.5)
_COMES_FOR_S = (4.0, 9.0)
# From the end of an instance until another is there in its place.
_REPLACED_S = 1.0


def fault(function: Fault) -> Fault:
    """Enter a fault that every seed may draw."""
    return fault_since(0)(function)


def fault_since(seed: int) -> collections.abc.Callable[[Fault], Fault]:
    """Enter a fault that a seed and those above it may draw."""

    def decorate(function: Fault) -> Fault:
        FAULTS[function.__name__] = function
        _SINCE[function.__name__] = seed
        return function

    return decorate


def drawn_by(seed: int) -> list[str]:
    """Return the names of the faults that a seed draws from."""
    return [name for name in sorted(FAULTS) if seed >= _SINCE[name]]


@contextlib.contextmanager
def _disturbed(
    site: soak_site.Site, *names: str
) -> collections.abc.Iterator[None]:
    loop = asyncio.get_running_loop()
    spans = [soak_records.Span(name, loop.time()) for name in names]
    site.found.disturbed += spans
    try:
        yield
    finally:
        for span in spans:
            span.until = loop.time() + _AFTER_S


def _pick(
    site: soak_site.Site, among: list[platform.Node], chance: random.Random
) -> platform.Node | None:
    """Return a node whose process runs and that no other fault has."""
    free = [
        node
        for node in among
        if not site.busy.get(node.name)
        and node.process is not None
        and node.process.poll() is None
    ]
    return chance.choice(free) if free else None


@contextlib.contextmanager
def _held(
    site: soak_site.Site, *nodes: platform.Node
) -> collections.abc.Iterator[None]:
    """Keep other faults off some nodes."""
    for node in nodes:
        site.busy[node.name] = True
    try:
        with _disturbed(site, *(node.name for node in nodes)):
            yield
    finally:
        for node in nodes:
            site.busy[node.name] = False


async def _pause(chance: random.Random, least: float, most: float) -> None:
    await asyncio.sleep(chance.uniform(least, most))


async def _kill_together(
    site: soak_site.Site, nodes: list[platform.Node], chance: random.Random
) -> None:
    if any(site.busy.get(node.name) for node in nodes):
        return
    with _held(site, *nodes):
        for node in nodes:
            site.kill(node)
        await _pause(chance, 0.1, 1.0)
        for node in nodes:
            site.restart(node)


@fault
async def kill(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """One process is killed and started again."""
    node = _pick(site, site.nodes, chance)
    if node is None:
        return
    with _held(site, node):
        site.kill(node)
        await _pause(chance, 0.1, 3.0)
        site.restart(node)


@fault
async def kill_core(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """All processes with a disk are killed at the same moment."""
    await _kill_together(site, site.core, chance)


@fault
async def freeze(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """One process stands still and wakes again."""
    node = _pick(site, site.nodes, chance)
    if node is None:
        return
    with _held(site, node):
        site.send_signal(node, signal.SIGSTOP)
        await _pause(chance, 0.3, 6.0)
        site.send_signal(node, signal.SIGCONT)


@fault
async def terminate(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """One process is stopped in order and started again."""
    node = _pick(site, site.nodes, chance)
    if node is None:
        return
    with _held(site, node):
        await site.terminate(node)
        site.restart(node)


@fault
async def reload(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """Some processes get SIGHUP."""
    for node in site.nodes:
        if chance.random() < 0.5 and not site.busy.get(node.name):
            site.send_signal(node, signal.SIGHUP)


@fault_since(1000)
async def kill_all(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """All processes are killed at the same moment."""
    await _kill_together(site, site.nodes, chance)


@fault_since(1000)
async def other_seeds(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """The settings name any instances, also such as have no disk."""
    site.set_seeds(chance.sample(site.nodes, _SEEDS))


@fault
async def lose_disk(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """One process is killed and comes back with an empty disk, once."""
    node = _pick(site, site.core, chance)
    if node is None or site.disk_lost:
        return
    with _held(site, node):
        site.kill(node)
        site.lose_disk(node)
        await _pause(chance, 0.1, 2.0)
        site.restart(node)


@fault
async def silence(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """Nothing passes to, from, or to and from one instance."""
    relay = chance.choice(site.instances).relay
    there, back = chance.choice([(True, True), (True, False), (False, True)])
    relay.cut(to_target=there, from_target=back)
    await _pause(chance, 0.5, 4.0)
    relay.heal()


@fault
async def delay(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """Everything to and from one instance is late."""
    relay = chance.choice(site.instances).relay
    relay.delay_s = chance.uniform(0.05, 0.5)
    await _pause(chance, 1.0, 4.0)
    relay.delay_s = 0.0


@fault
async def reset(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """The connections to one instance are closed, several times."""
    relay = chance.choice(site.instances).relay
    for _ in range(chance.randint(1, 5)):
        relay.close_connections()
        await _pause(chance, 0.05, 0.5)


@fault
async def mood(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """One instance fails some requests in one way."""
    instance = chance.choice(site.instances)
    instance.mood = chance.choice(backend.MOODS)
    await _pause(chance, 1.0, 5.0)
    instance.mood = ''


@fault
async def replace_instance(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """One instance drains and goes; another one comes before."""
    ready = [one for one in site.instances if one.state == 'ready']
    instance = chance.choice(ready)
    await site.add_instance(instance.service)
    await _pause(chance, 0.1, 1.0)
    instance.state = 'draining'
    site.tell()
    at = asyncio.get_running_loop().time()
    site.found.gone.append((instance.name, at + _DRAIN_S))
    await asyncio.sleep(_DRAIN_S + 1.0)
    await site.remove_instance(instance)


@fault
async def crash_instance(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """One instance is gone at once; the list says so later."""
    instance = chance.choice(site.instances)
    await instance.stop()
    await _pause(chance, 0.5, 3.0)
    await site.remove_instance(instance)
    await site.add_instance(instance.service)


@fault
async def list_fails(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """The platform's list answers with errors."""
    site.list_available = False
    with _disturbed(site, *(node.name for node in site.nodes)):
        await _pause(chance, 0.5, 4.0)
    site.list_available = True


@fault
async def storm(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """Configurations come in quick succession."""
    for _ in range(chance.randint(3, 15)):
        await operator.change()


@fault
async def race(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """Two operators send the same version."""
    await operator.race()


@fault
async def invalid(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """A configuration that cannot be right is sent."""
    await operator.send_invalid()


@fault_since(2000)
async def ending_request(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """One request ends each instance that runs it, and comes again."""
    loop = asyncio.get_running_loop()
    until = loop.time() + chance.uniform(*_COMES_FOR_S)
    async with asyncio.TaskGroup() as group:
        while loop.time() < until:
            node = chance.choice(site.nodes)
            group.create_task(site.send_ending(node))
            await _pause(chance, *_COMES_S)
            for instance in site.take_ended():
                group.create_task(_replace_ended(site, instance))
    for instance in site.take_ended():
        await _replace_ended(site, instance)


async def _replace_ended(
    site: soak_site.Site, instance: backend.Instance
) -> None:
    await asyncio.sleep(_REPLACED_S)
    await site.remove_instance(instance)
    await site.add_instance(instance.service)


@fault_since(3000)
async def resting(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """Some instances turn all away and ask for rest."""
    count = chance.randint(1, len(site.instances))
    chosen = chance.sample(site.instances, count)
    asked_s = chance.choice(_RESTS_S)
    with _disturbed(site, *(one.name for one in chosen)):
        for one in chosen:
            one.rest_s = asked_s
        await _pause(chance, 1.0, 5.0)
        for one in chosen:
            one.rest_s = 0.0


@fault_since(3000)
async def leaving_by_word(
    site: soak_site.Site,
    operator: soak_operator.Operator,
    chance: random.Random,
) -> None:
    """An instance says that it leaves; the list says so much later."""
    instance = chance.choice(site.instances)
    await site.add_instance(instance.service)
    instance.leaves = True
    await _pause(chance, 3.5, 6.0)
    await site.remove_instance(instance)
