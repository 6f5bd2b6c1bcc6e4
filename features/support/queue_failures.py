"""Failures around the keeper of a queue, each brought about in a fleet."""

import asyncio
import collections.abc

import attrs

from features.support import queue_fleet
from features.support import simulation

# Time until control has noticed that a gateway or an instance is gone.
_NOTICE_S = 0.6
_LAST_S = 5.0
_LONG_REQUESTS = 8

Fail = collections.abc.Callable[
    [queue_fleet.Fleet, str], collections.abc.Awaitable[None]
]
_FAILURES: dict[str, Fail] = {}


def failure(name: str) -> collections.abc.Callable[[Fail], Fail]:
    """Register what brings a failure about, given the keeper's name."""

    def register(fail: Fail) -> Fail:
        _FAILURES[name] = fail
        return fail

    return register


@failure('the keeper is killed')
async def _kill(fleet: queue_fleet.Fleet, keeper: str) -> None:
    fleet.kill(keeper)
    await asyncio.sleep(_NOTICE_S)
    fleet.list_gateways()


@failure('the keeper is frozen and listed no more')
async def _freeze(fleet: queue_fleet.Fleet, keeper: str) -> None:
    fleet.freeze(keeper)
    await asyncio.sleep(_NOTICE_S)
    fleet.list_gateways(but=(keeper,))


@failure('the keeper is frozen for half a second')
async def _freeze_briefly(fleet: queue_fleet.Fleet, keeper: str) -> None:
    fleet.freeze(keeper)
    await asyncio.sleep(0.5)
    fleet.thaw(keeper)


@failure('the keeper is frozen for two seconds and listed again')
async def _freeze_long(fleet: queue_fleet.Fleet, keeper: str) -> None:
    await _freeze(fleet, keeper)
    await asyncio.sleep(2.0 - _NOTICE_S)
    fleet.thaw(keeper)
    fleet.list_gateways()


@failure('the keeper is cut off from the other gateways')
async def _cut_links(fleet: queue_fleet.Fleet, keeper: str) -> None:
    for name in fleet.gateways:
        fleet.cut(name, keeper)


@failure('the keeper is cut off from control, which lists another at once')
async def _cut_control(fleet: queue_fleet.Fleet, keeper: str) -> None:
    fleet.gateways[keeper].has_control = False
    fleet.list_gateways(but=(keeper,))


@failure('the keeper is replaced, and learns it last')
async def _replace(fleet: queue_fleet.Fleet, keeper: str) -> None:
    others = [name for name in fleet.gateways if name != keeper]
    fleet.list_gateways(but=(keeper,), at=others)
    await asyncio.sleep(0.4)
    fleet.list_gateways(but=(keeper,))


@failure('the leader is lost for two seconds')
async def _lose_leader(fleet: queue_fleet.Fleet, keeper: str) -> None:
    for gateway in fleet.gateways.values():
        gateway.has_control = False
    await asyncio.sleep(2.0)
    for gateway in fleet.gateways.values():
        gateway.has_control = True


@failure('all links between gateways are lost')
async def _lose_links(fleet: queue_fleet.Fleet, keeper: str) -> None:
    fleet.lose_links()


@failure('a gateway is missing from one list')
async def _miss(fleet: queue_fleet.Fleet, keeper: str) -> None:
    holder = next(
        gateway
        for gateway in fleet.gateways.values()
        if gateway.queues.held and gateway.name != keeper
    )
    fleet.list_gateways(but=(holder.name,))
    await asyncio.sleep(0.3)
    fleet.list_gateways()
    # Its next request finds that the keeper does not know it.
    await fleet.call(holder)


@failure('a gateway that holds slots is killed')
async def _kill_holder(fleet: queue_fleet.Fleet, keeper: str) -> None:
    holders = [
        gateway.name
        for gateway in fleet.gateways.values()
        if gateway.queues.held and gateway.name != keeper
    ]
    fleet.kill(holders[0])
    await asyncio.sleep(_NOTICE_S)
    fleet.list_gateways()


@failure('a gateway starts that becomes the keeper')
async def _start_keeper(fleet: queue_fleet.Fleet, keeper: str) -> None:
    while fleet.keeper() == keeper:
        fleet.start_gateway(f'new-{len(fleet.gateways)}')
        await asyncio.sleep(0.01)


@failure('all gateways are lost and start again')
async def _lose_all(fleet: queue_fleet.Fleet, keeper: str) -> None:
    for name in list(fleet.gateways):
        fleet.kill(name)
    await asyncio.sleep(0.1)
    for name in list(fleet.gateways):
        fleet.start_gateway(name, incarnation='2')


@failure('an instance is lost')
async def _lose_instance(fleet: queue_fleet.Fleet, keeper: str) -> None:
    fleet.instances['i-1'].lose()
    await asyncio.sleep(_NOTICE_S)
    fleet.list_instances(gone=('i-1',))


@failure('an instance is listed no more')
async def _scale_in(fleet: queue_fleet.Fleet, keeper: str) -> None:
    fleet.list_instances(gone=('i-1',))


@attrs.define
class Outcome:
    """What was seen in a run.

    :ivar sent: requests of callers that were sent
    :ivar granted_again: whether slots were granted at the end
    :ivar waiting: requests that waited at the end
    :ivar counted: requests that the keeper still counted at the end
    """

    fleet: queue_fleet.Fleet
    sent: int = 0
    granted_again: bool = False
    waiting: int = 0
    counted: int = 0


def play(name: str, load: float, seed: int) -> Outcome:
    """Bring a failure about while callers send requests."""
    fleet = queue_fleet.Fleet(20, 3, 4, seed=seed, speeds=(1.0,))
    outcome = Outcome(fleet)

    async def run() -> None:
        await fleet.start()
        warm_up = asyncio.create_task(fleet.play(0.3, 3.0))
        await fleet.wait_granting()
        await warm_up
        fleet.reset()
        traffic = asyncio.create_task(fleet.play(load, _LAST_S))
        await asyncio.sleep(1.0)
        await _FAILURES[name](fleet, fleet.keeper())
        outcome.sent = await traffic
        await fleet.play(0.3, 0.5)
        outcome.granted_again = bool(fleet.granting())
        await asyncio.sleep(2.0)
        for gateway in fleet.gateways.values():
            if gateway.is_dead or gateway.is_frozen:
                continue
            outcome.waiting += gateway.queues.waiting
            outcome.waiting += gateway.keeper.waiting
            if gateway.name in fleet.granting():
                outcome.counted += gateway.keeper.taken
        fleet.stop()

    simulation.run(run())
    return outcome


def play_long(name: str, seed: int) -> Outcome:
    """Bring a failure about while requests run for seconds.

    Counts are compared as soon as slots are granted again.
    """
    fleet = queue_fleet.Fleet(20, 3, 4, seed=seed, speeds=(1.0,))
    outcome = Outcome(fleet)

    async def run() -> None:
        await fleet.start()
        warm_up = asyncio.create_task(fleet.play(0.3, 3.0))
        await fleet.wait_granting()
        await warm_up
        keeper = fleet.keeper()
        others = [name for name in fleet.gateways if name != keeper]
        long = [
            asyncio.create_task(
                fleet.call(fleet.gateways[name], 20.0, 60.0, 60.0)
            )
            for name in others[:_LONG_REQUESTS]
        ]
        await asyncio.sleep(1.0)
        await _FAILURES[name](fleet, keeper)
        await asyncio.sleep(3.0)
        await fleet.wait_granting()
        outcome.sent = sum(
            instance.present for instance in fleet.instances.values()
        )
        outcome.counted = sum(
            fleet.gateways[name].keeper.taken for name in fleet.granting()
        )
        fleet.stop()
        for task in long:
            task.cancel()
        await asyncio.wait(long)

    simulation.run(run())
    return outcome
