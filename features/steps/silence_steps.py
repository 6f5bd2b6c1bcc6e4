"""Steps about instances that send nothing for a while, and their log lines."""

import asyncio
from unittest import mock

import behave

from features.steps import gateway_steps
from features.support import instances
from features.support import log_capture
from honeyport.wire import honeyport_pb2 as pb

_KIND = 'streaming resumable'
_LAST_LINES = ('request_broken', 'request_refused', 'request_served')
_SILENT_INSTANCE = 'i-1'
_SILENT_INSTANCES = ('i-1', 'i-2')
_EVENT_TIMEOUT_S = 0.3
_NEVER_S = 60.0


@behave.given('one of its instances is silent after its first event')
def step_silent_instance(context):
    script = context.fixture.script
    script.step_by_instance[_SILENT_INSTANCE] = 'stream and wait'


@behave.given('two of its instances are silent after their first event')
def step_silent_instances(context):
    for name in _SILENT_INSTANCES:
        context.fixture.script.step_by_instance[name] = 'stream and wait'


@behave.then('no stream went on at a silent instance')
def step_none_resumed(context):
    resumed = [
        arrival.instance
        for arrival in context.fixture.script.arrivals
        if instances.NAMES.last_event in arrival.headers
    ]
    assert resumed and not set(resumed) & set(_SILENT_INSTANCES), resumed


@behave.given('one of its instances pauses after its first event')
def step_pausing_instance(context):
    script = context.fixture.script
    script.step_by_instance[_SILENT_INSTANCE] = 'stream with a pause'


@behave.when('a caller sends a request, and its lines are kept')
def step_send_logged(context):
    with log_capture.captured_events() as context.lines:
        context.response = context.run(
            gateway_steps.send_request(context.fixture)
        )


@behave.when('a caller sends a request, and meanwhile the {group} {event}')
def step_others_event(context, group, event):
    _send_during(context, _OTHERS_EVENTS[f'{group} {event}'])


@behave.when(
    'a caller sends a request, and meanwhile one of the other instances is '
    'full'
)
def step_one_full(context):
    _send_during(context, _fill_one)


@behave.then('the second attempt was not made at the full instance')
def step_not_at_full(context):
    second = context.fixture.script.arrivals[1].instance
    running = context.fixture.gateway._balancer._remote_running
    assert second not in running, second


@behave.when('a caller sends a request, and meanwhile its {thing} is {event}')
def step_configured(context, thing, event):
    _send_during(context, _CONFIGURATIONS[thing])


@behave.when(
    'a caller sends a request, and meanwhile connections take {delay:d} ms'
)
def step_slow_connections(context, delay):
    fixture = context.fixture
    pool = fixture.gateway._pool
    acquire = pool.acquire

    async def acquire_slowly(instance):
        await asyncio.sleep(delay / 1000)
        return await acquire(instance)

    def slow_down(fixture):
        patch = mock.patch.object(pool, 'acquire', acquire_slowly)
        patch.start()
        context.add_cleanup(patch.stop)

    _send_during(context, slow_down)


@behave.when(
    'a caller sends a request whose first event comes late, from {version}'
)
def step_late_event(context, version):
    attempts = context.fixture.gateway._forwarder._next_attempts
    seek = attempts.seek

    async def seek_before_event(exchange, state):
        obstacle = await seek(exchange, state)
        if obstacle is None:
            exchange.stream_version = version
        return obstacle

    with mock.patch.object(attempts, 'seek', seek_before_event):
        step_send_logged(context)


@behave.then('the second attempt is made at {version}, or none is')
def step_second_attempt(context, version):
    arrivals = context.fixture.script.arrivals
    assert {arrival.version for arrival in arrivals[1:]} <= {version}


@behave.then('nothing is held for another attempt')
def step_nothing_held(context):
    gateway = context.fixture.gateway
    assert not gateway._balancer.running, gateway._balancer.running
    records = gateway._activity._records.values()
    assert not any(record.attempts for record in records), records


def _send_during(context, change):
    """Send a request; change something once an instance has it."""
    fixture = context.fixture

    async def send():
        request = asyncio.create_task(gateway_steps.send_request(fixture))
        async with asyncio.timeout(_EVENT_TIMEOUT_S):
            while not fixture.script.arrivals:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.02)  # for the first event
        change(fixture)
        return await request

    with log_capture.captured_events() as context.lines:
        context.response = context.run(send())


def _other_names(fixture):
    busy = fixture.script.arrivals[0].instance
    return tuple(
        instance.name
        for instance in fixture.instances
        if instance.name != busy
    )


def _refuse_connections(fixture):
    for instance in fixture.instances:
        if instance.name in _other_names(fixture):
            instance.refuse_connections()


def _fill_one(fixture):
    """Let other gateways have taken all slots of an instance."""
    name = _other_names(fixture)[0]
    balancer = fixture.gateway._balancer
    balancer._remote_running = {name: fixture.slots}
    balancer._remote_counted_at = asyncio.get_running_loop().time()


def _end_lease(fixture):
    fixture.gateway.state._lease_until = float('-inf')


def _end_other_lease(fixture):
    fixture.other.gateway.state._lease_until = float('-inf')


def _leave(fixture):
    names = tuple(instance.name for instance in fixture.instances)
    fixture.other.apply_instances(leaving=names)


def _refuse_requests(fixture):
    fixture.other.gateway._caller_server.start_refusing()


def _unlist(fixture):
    fixture.gateway.state.apply_presence(pb.Presence())


def _stop_other(fixture):
    fixture.stopping = asyncio.create_task(fixture.other.tree.stop())


def _answer_nothing(fixture):
    async def look_up(lookup):
        await asyncio.sleep(_NEVER_S)

    links = fixture.gateway._links
    links.get(fixture.other.peer_address).look_up = look_up


_OTHERS_EVENTS = {
    'instances are leaving': _leave,
    'other gateway refuses requests': _refuse_requests,
    'other gateway is not listed': _unlist,
    'other gateway answers no questions': _answer_nothing,
    'other gateway gets SIGTERM': _stop_other,
    'lease of the other gateway ends': _end_other_lease,
    'other instances refuse connections': _refuse_connections,
    'other instances are leaving': lambda fixture: fixture.apply_instances(
        leaving=_other_names(fixture)
    ),
    'lease ends': _end_lease,
}
_CONFIGURATIONS = {
    'route': lambda fixture: fixture.configure(_KIND, prefix='/other/'),
    'key': lambda fixture: fixture.configure(_KIND, keys=('another',)),
}


@behave.when('{count:d} callers send a request at the same time')
def step_send_together(context, count):
    async def send():
        return await asyncio.gather(
            *(
                gateway_steps.send_request(
                    context.fixture, request_id=f'q-{number}'
                )
                for number in range(count)
            )
        )

    with log_capture.captured_events() as context.lines:
        context.responses = context.run(send())


@behave.then('{count:d} requests arrived, and all are answered completely')
def step_all_arrived_once(context, count):
    step_all_complete(context)
    arrivals = context.fixture.script.arrivals
    assert len(arrivals) == count, [arrival.instance for arrival in arrivals]


@behave.then('all are answered completely')
def step_all_complete(context):
    for response in context.responses:
        body = response.body
        assert response.is_complete and response.status == 200, response
        assert body == instances.BODY or (
            body.count(b'id: ') == instances.EVENTS
        ), response


@behave.then('at most {count:d} attempts ran, and the caller sees a failure')
def step_failure(context, count):
    arrivals = context.fixture.script.arrivals
    ran = [arrival.step for arrival in arrivals if arrival.step != 'not run']
    assert len(ran) <= count, ran
    response = context.response
    assert not response.is_complete or response.status in (500, 502), response


@behave.then('no instance was avoided')
def step_none_avoided(context):
    assert not _lines(context, 'instance_avoided'), context.lines


@behave.then('only the silent instance was avoided')
def step_one_avoided(context):
    avoided = {
        fields['backend'] for fields in _lines(context, 'instance_avoided')
    }
    assert avoided == {_SILENT_INSTANCE}, context.lines


@behave.then('the lines tell that the answer was awaited, as {reason:w}')
def step_awaited(context, reason):
    reasons = [
        fields['no_retry']
        for fields in _lines(context, 'silent_answer_awaited')
    ]
    assert reason in reasons, context.lines


@behave.then(
    'the lines tell that the answer was awaited, as {reason} for {code}'
)
def step_awaited_for(context, reason, code):
    lines = _lines(context, 'silent_answer_awaited')
    assert any(
        fields['no_retry'] == reason and fields['detail'].startswith(code)
        for fields in lines
    ), lines


@behave.then('the budget has {count:d} retries less')
def step_budget(context, count):
    budgets = context.fixture.gateway._forwarder._budgets
    counts = budgets._counts('app').retries
    now = context.run(_loop_time())
    assert counts.total(now) == count, counts.total(now)


async def _loop_time():
    return asyncio.get_running_loop().time()


@behave.then('its last line tells that no attempt followed, as {reason}')
def step_reason(context, reason):
    (fields,) = _lines(context, *_LAST_LINES)
    assert fields['no_retry'] == reason, fields
    assert fields['silent_ms'] >= 0, fields


@behave.then('the failed attempt tells how many instances could have taken it')
def step_available(context):
    attempts = _lines(context, 'attempt_failed')
    # Each attempt leaves one instance less of three.
    assert [fields['available'] for fields in attempts] == [2, 1][
        : len(attempts)
    ], attempts


@behave.then(
    'the failed attempt tells that the instance was silent for {first:d} to '
    '{last:d} ms'
)
def step_silent(context, first, last):
    fields = _lines(context, 'attempt_failed')[0]
    assert first <= fields['silent_ms'] <= last, fields


def _lines(context, *names):
    return [fields for name, fields in context.lines if name in names]
