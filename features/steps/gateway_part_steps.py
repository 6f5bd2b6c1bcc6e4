"""Steps about gateways that refuse requests with certain prompt parts."""

import asyncio
import json

import behave

from features.steps import gateway_steps
from honeyport import errors
from honeyport.gateway import headers
from honeyport.policy import traits
from honeyport.wire import honeyport_pb2 as pb

_SERVICE = 'app'
_POLL_S = 0.002
_PAUSE_MS = 60_000
_CLOSED_S = 0.5
_NEARLY_TIMEOUT_S = 1.4  # the timeout of the route is 1.5 s


@behave.given('the leader has barred requests with the part {part}')
def step_barred(context, part):
    context.run(_apply(context.fixture, _bar(part)))


@behave.given(
    'only the other gateway knows that requests with the part {part} are '
    'barred'
)
def step_barred_at_other(context, part):
    context.run(_apply(context.fixture.other, _bar(part)))


@behave.given(
    'the leader bars requests with the part {part} as soon as one arrives'
)
def step_bar_on_arrival(context, part):
    context.during = lambda: _bar_on_arrival(context.fixture, part)


@behave.given(
    'the leader asks about the part {part}, and bars it {delay:g} s after an '
    'end'
)
def step_bar_after_end(context, part, delay):
    message = pb.Suspects()
    message.candidates.add(service=_SERVICE, part=part)
    context.run(_apply(context.fixture, message))
    context.during = lambda: _bar_after_end(context.fixture, part, delay)


@behave.given(
    'the leader bars requests with the part {part}, {answers}, {delay:g} s '
    'after one arrives'
)
def step_bar_in_flight(context, part, answers, delay):
    fixtures = [context.fixture]
    if hasattr(context.fixture, 'other'):
        fixtures.append(context.fixture.other)
    message = _bar(part, is_unanswered=answers == 'never answered')
    context.during = lambda: _bar_in_flight(fixtures, message, delay)


@behave.given('the leader permits one request with the part {part}')
def step_permit(context, part):
    message = _bar(part, is_unanswered=True)
    message.suspects[0].barred = False
    context.run(_apply(context.fixture, message))
    tracker = context.fixture.gateway.suspects
    tracker.set_sender(lambda item: _grant(tracker, item))


@behave.given('the leader gives one permit at a time for the part {part}')
def step_permit_in_turn(context, part):
    step_permit(context, part)
    context.permits = _Permits(context.fixture)


@behave.then('no permit was given back while an instance had the request')
def step_permit_kept(context):
    assert context.permits.granted, 'no permit was requested'
    assert not context.permits.early, context.permits.early


@behave.when('a request arrives whose prompt has the parts {prompt}')
def step_send(context, prompt):
    context.response = context.run(_send(context, prompt))


@behave.then('its instance sees that the connection is closed')
def step_closed(context):
    [arrival] = context.fixture.script.arrivals
    context.run(_wait_closed(arrival))


@behave.then('it was not answered before its deadline')
def step_not_withdrawn(context):
    assert context.took_s > _NEARLY_TIMEOUT_S, context.took_s


@behave.then('it is answered as one that may have run')
def step_may_have_run(context):
    error = json.loads(context.response.body)['error']
    assert error['code'] == errors.RequestWithdrawn.code, error
    assert error['ran'] is None, error


def _bar(part, *, is_unanswered=False):
    """Return the message that bars requests with a part."""
    part_set = traits.PartSet(service=_SERVICE, parts=(part,))
    message = pb.Suspects()
    message.suspects.add(
        request=bytes.fromhex(part_set.key),
        ends=3,
        barred=True,
        back_ms=_PAUSE_MS,
        unanswered=is_unanswered,
        set=pb.PartSet(service=_SERVICE, parts=[part]),
    )
    return message


async def _apply(fixture, message):
    fixture.gateway.suspects.apply(message)


async def _bar_on_arrival(fixture, part):
    while not fixture.script.arrivals:
        await asyncio.sleep(_POLL_S)
    await _apply(fixture, _bar(part))


async def _bar_in_flight(fixtures, message, delay):
    while not fixtures[0].script.arrivals:
        await asyncio.sleep(_POLL_S)
    await asyncio.sleep(delay)
    for fixture in fixtures:
        await _apply(fixture, message)


async def _wait_closed(arrival):
    async with asyncio.timeout(_CLOSED_S):
        await arrival.disconnected.wait()


def _grant(tracker, item):
    """Receive an item as a leader that grants each permit."""
    if item.HasField('permit'):
        answer = pb.PermitAnswer(id=item.permit.id, granted=True)
        loop = asyncio.get_running_loop()
        loop.call_soon(tracker.resolve_permit, answer)
    return True


class _Permits:
    """A leader that gives one permit at a time.

    :ivar early: instances that had the request when its permit was given back
    """

    def __init__(self, fixture):
        self._fixture = fixture
        self._tracker = fixture.gateway.suspects
        self._is_held = False
        self.granted = 0
        self.early = []
        self._tracker.set_sender(self._receive)

    def _receive(self, item):
        loop = asyncio.get_running_loop()
        if item.HasField('permit'):
            is_granted = not self._is_held
            self._is_held = True
            self.granted += is_granted
            answer = pb.PermitAnswer(id=item.permit.id, granted=is_granted)
            loop.call_soon(self._tracker.resolve_permit, answer)
        elif item.HasField('release'):
            self._is_held = False
            self.early += [
                arrival.instance
                for arrival in self._fixture.script.arrivals
                if not arrival.answered_at
                and not arrival.disconnected.is_set()
            ]
        return True


async def _bar_after_end(fixture, part, delay):
    while not fixture.counters.counter('instances_ended'):
        await asyncio.sleep(_POLL_S)
    await asyncio.sleep(delay)
    await _apply(fixture, _bar(part))


async def _send(context, prompt):
    fixture = context.fixture
    during = getattr(context, 'during', None)
    task = asyncio.create_task(during()) if during else None
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    try:
        parts = ','.join(f'{part}:100' for part in prompt.split(','))
        return await gateway_steps.send_request(
            fixture,
            headers={headers.HeaderNames().prompt_parts: parts},
        )
    finally:
        context.took_s = loop.time() - started_at
        if task is not None:
            task.cancel()
