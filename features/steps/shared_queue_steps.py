"""Steps about gateways that share a queue for the slots of a service."""

import asyncio
import json

import behave

from features.steps import gateway_steps
from features.support import choices
from features.support import gateway_fleet
from features.support import instances
from features.support import queue_failures
from features.support import queue_fleet
from features.support import simulation
from honeyport.gateway import headers
from honeyport.gateway import queue_keeper
from honeyport.wire import honeyport_pb2 as pb

_SLOTS = 4
_EXTRA = 1
_LOAD = 0.7
_SEED = 1
_SEEDS = (1, 2, 3)
_REPORT_S = 0.2
_TIMEOUT_S = 5.0
_LEASE_MS = 4000


@behave.when('{failure} while callers send requests')
def step_fail(context, failure):
    context.outcome = queue_failures.play(failure, _LOAD, _SEED)


@behave.when('{failure} while requests run for seconds')
def step_fail_long(context, failure):
    context.outcome = queue_failures.play_long(failure, _SEED)


@behave.then('the keeper counts each of them once')
def step_counted(context):
    outcome = context.outcome
    assert outcome.sent == outcome.counted > 0, outcome


@behave.then('no two gateways grant slots at the same time')
def step_one_keeper(context):
    assert context.outcome.fleet.most_keepers == 1


@behave.then(
    'no instance gets more granted requests than its slots and one more'
)
def step_granted(context):
    most = _most(context, 'most_granted')
    assert 0 < most <= _SLOTS + _EXTRA, most


@behave.then('no instance gets more requests than its slots and one more')
def step_present(context):
    most = _most(context, 'most')
    assert 0 < most <= _SLOTS + _EXTRA, most


def _most(context, kind):
    fleet = context.outcome.fleet
    return max(getattr(each, kind) for each in fleet.instances.values())


@behave.then(
    'every request is served, none after more than {limit_ms:d} ms in a queue'
)
def step_all_served(context, limit_ms):
    fleet = context.outcome.fleet
    served = fleet.outcomes['in time'] + fleet.outcomes['late']
    assert served == fleet.outcomes.total() > context.outcome.sent, (
        fleet.outcomes
    )
    assert fleet.longest_queued_s * 1000 <= limit_ms, fleet.longest_queued_s


@behave.then('slots are granted in the end, and no request is left over')
def step_left(context):
    outcome = context.outcome
    assert outcome.granted_again
    assert (outcome.waiting, outcome.counted) == (0, 0), outcome


@behave.given('a keeper whose queue is full')
def step_full(context):
    context.answers = simulation.run(_ask_full_queue())


async def _ask_full_queue():
    """Return the keeper's answer to one ask more than it lets wait."""
    # Enough slots that the bound is met before the forecast refuses.
    fleet = queue_fleet.Fleet(20, 3, 6)
    await fleet.start()
    await asyncio.sleep(3.0)
    keeper = fleet.gateways[fleet.keeper()].keeper
    frames = []
    link = keeper.open(frames.append)
    held = pb.SlotsHeld(
        service=choices.SERVICE, gateway='g-x', incarnation='1'
    )
    link.handle(pb.Frame(stream=1, held=held))
    ask = pb.SlotAsk(
        service=choices.SERVICE,
        allowed=['i-0', 'i-1', 'i-2'],
        objective_ms=100_000_000,
        deadline_ms=100_000_000,
    )
    asked = 0
    while keeper.waiting < queue_keeper.MAX_WAITING:
        asked += 1
        link.handle(pb.Frame(stream=1 + asked, ask=ask))
        await asyncio.sleep(0.001)
        assert asked < 2 * queue_keeper.MAX_WAITING, keeper.waiting
    frames.clear()
    link.handle(pb.Frame(stream=2 + asked, ask=ask))
    answers = [frame for frame in frames if frame.stream == 2 + asked]
    fleet.stop()
    return answers


@behave.when('a gateway asks it for a slot')
def step_ask(context):
    assert len(context.answers) == 1, context.answers


@behave.then(
    'the request is refused at once as not run, with a time to come back'
)
def step_refused(context):
    refusal = context.answers[0].refusal
    assert refusal.reason and refusal.back_ms > 0, refusal


@behave.when(
    'callers of {gateways:d} gateways send {load:g} of what the slots run, '
    'with and without a queue'
)
def step_replay(context, gateways, load):
    context.runs = {
        has_queues: [
            queue_fleet.replay(
                gateways,
                load,
                seed=seed,
                has_queues=has_queues,
                seconds=4.0,
            )
            for seed in _SEEDS
        ]
        for has_queues in (False, True)
    }


@behave.when('no caller sends anything to {gateways:d} gateways')
def step_idle(context, gateways):
    async def idle(fleet):
        await fleet.start()
        await asyncio.sleep(10.0)
        fleet.stop()

    fleet = queue_fleet.Fleet(gateways)
    simulation.run(idle(fleet))
    context.runs = {True: [fleet]}


@behave.then('at least {more:g} more of them are in time with a queue')
def step_more_in_time(context, more):
    before, after = (
        sum(fleet.outcomes['in time'] for fleet in context.runs[has_queues])
        / sum(fleet.outcomes.total() for fleet in context.runs[has_queues])
        for has_queues in (False, True)
    )
    assert after - before >= more, (before, after)


@behave.then('no gateway asks another one for a slot')
def step_no_asks(context):
    assert [fleet.frames for fleet in context.runs[True]] == [0] * len(
        context.runs[True]
    )


# -- gateways that listen ------------------------------------------------


class SharingFleet(gateway_fleet.Fleet):
    """Three gateways before one instance, with answers of control."""

    def __init__(self):
        super().__init__(3, ['answer late'], count=1, shared_queues=True)
        for fixture in self.gateways.values():
            fixture.slots = 2
        self.control = None
        self.responses = []

    async def start(self, kind):
        await super().start(kind)
        self.control = asyncio.create_task(self._renew())
        async with asyncio.timeout(_TIMEOUT_S):
            while not all(
                session.is_granting
                for fixture in self.living()
                for session in self._sessions(fixture)
            ):
                await asyncio.sleep(0.05)
                for fixture in self.living():
                    await gateway_steps.send_request(fixture)
        self.script.arrivals.clear()

    def _sessions(self, fixture):
        queues = fixture.gateway.shared_queues
        return list(queues.sessions.values()) or [_NoSession]

    def living(self):
        return [
            fixture
            for name, fixture in self.gateways.items()
            if name not in self.stopped
        ]

    @property
    def keeper(self):
        queues = self.living()[0].gateway.shared_queues
        return self.gateways[queues.keepers['app']]

    async def _renew(self):
        while True:
            for fixture in self.living():
                fixture.renew_lease(_LEASE_MS)
                fixture.gateway.apply_state()
            await asyncio.sleep(_REPORT_S)

    async def send(self, count):
        """Send requests at all gateways at once."""
        living = self.living()
        self.responses += await asyncio.gather(
            *(
                gateway_steps.send_request(
                    living[number % len(living)], request_id=f'q-{number}'
                )
                for number in range(count)
            )
        )

    async def stop(self):
        self.control.cancel()
        await super().stop()


class _NoSession:
    is_granting = False


@behave.given('three gateways before one instance with two slots')
def step_sharing(context):
    async def start():
        context.fleet = SharingFleet()
        await context.fleet.start('non_idempotent')

    context.run(start())
    context.to_stop.append(context.fleet.stop)


@behave.when('{count:d} requests arrive at {which} gateways at once')
def step_arrive(context, count, which):
    context.run(context.fleet.send(count))


@behave.when('the keeper is killed')
def step_kill(context):
    fleet = context.fleet
    context.before = len(fleet.responses)
    context.run(fleet.kill(fleet.keeper.name))


@behave.when('callers leave while their requests wait')
def step_leave(context):
    context.run(_leave(context.fleet))


async def _leave(fleet):
    fleet.script.replace(['silent'])
    tasks = [
        asyncio.create_task(
            gateway_steps.send_request(fleet.first, request_id=f'q-{number}')
        )
        for number in range(8)
    ]
    async with asyncio.timeout(_TIMEOUT_S):
        while len(fleet.script.arrivals) < 2 + _EXTRA:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


@behave.then('each is answered, or refused as not run and has not arrived')
def step_each(context):
    answered = 0
    for response in context.fleet.responses:
        if response.status == 200:
            answered += 1
            continue
        assert json.loads(response.body)['error']['ran'] is False, response
    assert answered == len(context.fleet.script.arrivals)
    assert answered > len(context.fleet.responses) / 3, answered


@behave.then('the instance never has more than {most:d} at once')
def step_at_once(context, most):
    changes = []
    for arrival in context.fleet.script.arrivals:
        changes += [(arrival.arrived_at, 1), (arrival.answered_at, -1)]
    present = highest = 0
    for _, change in sorted(changes):
        present += change
        highest = max(highest, present)
    assert highest <= most, highest


@behave.then('the last ones were sent without a keeper, at once')
def step_at_once_without(context):
    responses = context.fleet.responses[context.before :]
    assert all(response.status == 200 for response in responses), responses
    arrivals = context.fleet.script.arrivals[-len(responses) :]
    first = min(arrival.arrived_at for arrival in arrivals)
    last = max(arrival.arrived_at for arrival in arrivals)
    assert last - first < instances.LATE_S * 4, last - first


@behave.then('the slots are free, and their requests have not arrived')
def step_free(context):
    fleet = context.fleet

    async def wait_free():
        async with asyncio.timeout(_TIMEOUT_S):
            while (
                fleet.keeper.gateway.kept_queues.taken
                or fleet.keeper.gateway.kept_queues.waiting
            ):
                await asyncio.sleep(0.01)

    context.run(wait_free())
    assert len(fleet.script.arrivals) == 2 + _EXTRA, fleet.script.arrivals


@behave.given('{count:d} gateways that share queues {when} before few slots')
def step_switched_off(context, count, when):
    context.gateway_count = count
    context.if_uneven = when == 'if instances report slowdown'


@behave.when('an instance reports the load "{load}" to each')
def step_report_load(context, load):
    async def run() -> int:
        fleet = queue_fleet.Fleet(
            context.gateway_count,
            seed=_SEED,
            has_queues=False,
            if_uneven=context.if_uneven,
        )
        await fleet.start()
        for gateway in fleet.gateways.values():
            gateway.queues.record_load(headers.parse_load(load))
        known = [
            gateway
            for gateway in fleet.gateways.values()
            if gateway.queues.keepers
        ]
        fleet.stop()
        return len(known)

    context.known = simulation.run(run())


@behave.then('{number:d} of them know a keeper')
def step_know_keeper(context, number):
    assert context.known == number, context.known
