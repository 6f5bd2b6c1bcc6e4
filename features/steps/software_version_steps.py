"""Steps about streams while instances of several software versions serve."""

import asyncio
import json
import re
import time
from unittest import mock

import attrs
import behave

from features.steps import gateway_steps
from features.support import gateway_fleet
from features.support import instances
from features.support import log_capture
from honeyport import exchange
from honeyport.gateway import stream_copies
from honeyport import local
from honeyport.policy import begun_streams
from honeyport.policy import versions
from honeyport.router import fleetstate
from honeyport.router import frames
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

# Longer than a gateway trusts its list without hearing control.
_SILENCE_S = 0.8
# Time for records to arrive at other gateways.
_TOLD_S = 0.1
_UNKNOWN_ID = 'never-seen'
_NO_HEADERS: dict[str, str] = {}
_EVENT = re.compile(rb'id: (\d+)\ndata: token \1 of (\S+)\n\n')


@behave.given('its instances have the versions {versions}')
def step_versions(context, versions):
    fixture = context.fixture
    for instance, version in zip(
        fixture.instances, versions.split(', '), strict=True
    ):
        instance.version = version

    async def apply():
        for gateway in (fixture, getattr(fixture, 'other', fixture)):
            gateway.apply_instances()

    context.run(apply())


@behave.given('the other gateway knows no versions')
def step_no_versions(context):
    decode_call = frames.decode_call
    decode_frame = frames.decode_frame

    def forget_in_call(message):
        return attrs.evolve(decode_call(message), version=None)

    def forget_in_frame(message):
        frame = decode_frame(message)
        if isinstance(frame, exchange.Head):
            return attrs.evolve(frame, version='')
        return frame

    for patch in (
        mock.patch.object(frames, 'decode_call', forget_in_call),
        mock.patch.object(frames, 'decode_frame', forget_in_frame),
    ):
        patch.start()
        context.add_cleanup(patch.stop)


@behave.when('{count:d} callers send a request one after the other')
def step_send_in_turn(context, count):
    context.response = None
    context.responses = [
        context.run(gateway_steps.send_request(context.fixture))
        for _ in range(count)
    ]


@behave.then('the stream is whole')
def step_whole(context):
    assert _is_whole(context.response), context.response


@behave.then('the streams that began at {version} are {state}')
def step_streams(context, version, state):
    streams = [
        response
        for response in context.responses
        if _EVENT.findall(response.body)[0][1] == version.encode()
    ]
    for response in streams:
        assert _is_whole(response) == (state == 'whole'), response


def _is_whole(response):
    events = _EVENT.findall(response.body)
    return response.is_complete and len(events) == instances.EVENTS


@behave.then('no stream holds events of two versions')
def step_one_version(context):
    for response in _responses(context):
        events = _EVENT.findall(response.body)
        numbers = [int(number) for number, _ in events]
        assert numbers == list(range(1, len(events) + 1)), response
        assert len({version for _, version in events}) <= 1, response


def _responses(context):
    return [context.response] if context.response else context.responses


@behave.given(
    'a fleet of {count:d} gateways for {kind} requests whose instances {steps}'
)
def step_fleet(context, count, kind, steps):
    context.fleet = gateway_fleet.Fleet(count, [steps])
    context.run(context.fleet.start(kind))
    context.to_stop.append(context.fleet.stop)


@behave.given('the instances have the versions {names}')
@behave.when('the instances have the versions {names}')
def step_fleet_versions(context, names):
    context.run(context.fleet.apply_versions(names.split(', ')))


@behave.given('the lists have shown one version for as long as a stream lasts')
def step_one_version_long(context):
    context.run(context.fleet.shorten_history())


@behave.given('the route allows {limit_s:d} s for a stream')
def step_route_timeout(context, limit_s):
    async def allow():
        for fixture in context.fleet.gateways.values():
            fixture.timeout_ms = limit_s * 1000
            fixture.make_ready(context.fleet.kind)

    context.run(allow())


@behave.given('{name} has just started')
def step_just_started(context, name):
    gateway = context.fleet.gateways[name].gateway
    gateway._streams._history = versions.VersionHistory(gateway_fleet.WINDOW_S)

    async def apply():
        gateway.apply_state()

    context.run(apply())


@behave.given('control has been heard for {seconds:d} s')
def step_heard(context, seconds):
    for fixture in context.fleet.gateways.values():
        fixture.gateway._streams._history._known_since -= seconds


@behave.given('all are back')
def step_back(context):
    """Go on."""


@behave.then('the time to come back is {seconds:g} s')
def step_come_back(context, seconds):
    assert float(context.response.headers['Retry-After']) == seconds, (
        context.response
    )


@behave.given('{name} does not hear control')
def step_silent(context, name):
    async def hear():
        await asyncio.sleep(_SILENCE_S)
        for other, fixture in context.fleet.gateways.items():
            if other != name:
                fixture.gateway.apply_state()

    context.run(hear())


@behave.given('{name} hears neither control nor the other gateways')
def step_alone(context, name):
    step_silent(context, name)
    for other, fixture in context.fleet.gateways.items():
        if other != name:
            fixture.peer_address = local.free_address()
    context.fleet.list_gateways()


@behave.given('the others than {name} get a list with the versions {names}')
def step_newer_list(context, name, names):
    context.run(context.fleet.apply_versions(names.split(', '), but=name))


@behave.given('{name} gets a list with the versions {names}')
def step_newer_list_at(context, name, names):
    context.run(context.fleet.apply_versions(names.split(', '), only=name))


@behave.when('{name} forgets what it was told')
def step_forget(context, name):
    streams = context.fleet.gateways[name].gateway._streams
    streams._held = begun_streams.Records()


@behave.when('{count:d} streams begin at {name} and break')
def step_begin(context, count, name):
    context.run(_begin(context, count, context.fleet.gateways[name]))


@behave.when(
    '{count:d} streams without a limit of time begin at {name} and break'
)
def step_begin_unlimited(context, count, name):
    fixture = context.fleet.gateways[name]
    context.run(_begin(context, count, fixture, float('inf')))


async def _begin(context, count, fixture, deadline_ms=5000):
    context.parts = {}
    for number in range(count):
        request_id = f'begun-{number}'
        response = await gateway_steps.send_request(
            fixture, request_id=request_id, deadline_ms=deadline_ms
        )
        assert not response.is_complete and response.body, response
        context.parts[request_id] = [response.body]
    await asyncio.sleep(_TOLD_S)


@behave.when('nothing else happens')
def step_nothing(context):
    """Go on."""


@behave.when('{name} is killed')
def step_kill(context, name):
    context.run(context.fleet.kill(name))


@behave.when('{names} is stopped')
@behave.when('{names} are stopped one after the other')
def step_stop_in_turn(context, names):
    for name in names.split(', '):
        context.run(context.fleet.stop_gateway(name))


@behave.when('all gateways are killed')
def step_kill_all(context):
    step_kill_but(context, '')


@behave.when('all gateways but {survivor} are killed')
def step_kill_but(context, survivor):
    names = [name for name in context.fleet.gateways if name != survivor]

    async def kill():
        for name in names:
            await context.fleet.kill(name)

    context.run(kill())
    context.killed = names


@behave.when('they are started again while the versions are {names}')
def step_restart(context, names):
    _restart(context, names)


@behave.when(
    'they are started again with {recorded} on record while the versions are '
    '{names}'
)
def step_restart_recorded(context, recorded, names):
    on_record = tuple(recorded.replace('earlier', '').split('+'))
    _restart(context, names, on_record)


def _restart(context, names, recorded=()):
    for instance, version in zip(
        context.fleet.instances, names.split(', '), strict=True
    ):
        instance.version = version
    context.run(context.fleet.restart(context.killed, recorded))


@behave.when('their callers take them up at {name}, and name no request')
def step_take_up_unnamed(context, name):
    _take_all_up(context, name, {instances.NAMES.resumes: ''})


@behave.when('their callers take them up at {name}')
def step_take_up(context, name):
    _take_all_up(context, name, {})


def _take_all_up(context, name, headers):
    context.fleet.script.replace(['stream'])
    context.fleet.script.arrivals.clear()
    fixture = context.fleet.gateways[name]
    context.responses = []
    for request_id, parts in context.parts.items():
        response = context.run(
            _take_up(fixture, request_id, parts[0], headers)
        )
        context.responses.append(response)
        parts.append(response.body)


async def _take_up(
    fixture, request_id, received, headers=_NO_HEADERS, deadline_ms=5000
):
    numbers = [int(number) for number, _ in _EVENT.findall(received)]
    all_headers = {
        instances.NAMES.resumes: request_id,
        instances.NAMES.last_event: str(numbers[-1]),
        **headers,
    }
    return await gateway_steps.send_request(
        fixture,
        request_id=f'{request_id}-again',
        deadline_ms=deadline_ms,
        headers={name: text for name, text in all_headers.items() if text},
    )


@behave.then('all streams are whole, each of one version')
def step_all_whole(context):
    for response, parts in zip(
        context.responses, context.parts.values(), strict=True
    ):
        events = _EVENT.findall(b''.join(parts))
        numbers = [int(number) for number, _ in events]
        assert response.is_complete, (response, parts)
        assert numbers == list(range(1, instances.EVENTS + 1)), parts
        assert len({version for _, version in events}) == 1, parts


@behave.when('a caller takes up a stream that no gateway knows at {name}')
def step_take_up_unknown(context, name):
    _take_unknown_up(context, name)


@behave.when(
    'a caller that waits for {limit_s:d} s takes up a stream that no gateway '
    'knows at {name}'
)
def step_take_up_long(context, limit_s, name):
    _take_unknown_up(context, name, deadline_ms=limit_s * 1000)


def _take_unknown_up(context, name, **options):
    fixture = context.fleet.gateways[name]
    event = b'id: 2\ndata: token 2 of v1\n\n'
    started_at = time.monotonic()
    with log_capture.captured_events() as context.lines:
        context.response = context.run(
            _take_up(fixture, _UNKNOWN_ID, event, **options)
        )
    context.took_s = time.monotonic() - started_at


@behave.then('the stream goes on')
def step_goes_on(context):
    events = _EVENT.findall(context.response.body)
    numbers = [int(number) for number, _ in events]
    assert numbers == list(range(3, instances.EVENTS + 1)), context.response


@behave.then(
    'it is refused as not run within {limit_ms:d} ms, with a time to come back'
)
def step_refused(context, limit_ms):
    _check_refused(context, context.response)
    assert context.took_s * 1000 <= limit_ms, context.took_s


@behave.then('they are refused as not run, and no request arrived')
def step_all_refused(context):
    for response in context.responses:
        _check_refused(context, response)


def _check_refused(context, response):
    assert response.status == 503, response
    assert json.loads(response.body)['error']['ran'] is False, response
    assert float(response.headers['Retry-After']) > 0, response
    assert not context.fleet.script.arrivals, context.fleet.script.arrivals


@behave.then('the log says which versions there are')
def step_logged_versions(context):
    fields = dict(context.lines)['stream_unknown']
    assert fields['versions'] == ['v1', 'v1.1'], context.lines


@behave.given('a list of {count:d} gateways')
def step_list(context, count):
    context.state = fleetstate.FleetState()
    context.copies = stream_copies.StreamCopies(
        'g-1', context.state, None, metrics.Metrics()
    )
    context.members = [
        pb.Member(
            router=f'g-{number}',
            domain=gateway_fleet.DOMAINS[number % len(gateway_fleet.DOMAINS)],
            peer_address=f'127.0.0.1:{number}',
        )
        for number in range(1, count + 1)
    ]
    context.state.apply_presence(pb.Presence(members=context.members))


@behave.when('{count:d} streams begin at one of them')
def step_begin_at_one(context, count):
    context.told = {
        f's-{number}': context.copies.rank(f's-{number}', 2)
        for number in range(count)
    }


@behave.then(
    'at most {most:d} others are told, each stream two in different failure '
    'domains'
)
def step_told(context, most):
    names = set()
    for members in context.told.values():
        first, second = members
        assert first.domain != second.domain, members
        names |= {first.router, second.router}
    assert len(names) <= most and 'g-1' not in names, names


@behave.then(
    'without {count:d} of the gateways, most streams are still known to those '
    'that are asked first'
)
def step_still_known(context, count):
    context.state.apply_presence(pb.Presence(members=context.members[count:]))
    known = 0
    for request_id, told in context.told.items():
        asked = context.copies.rank(request_id, 4)
        known += bool(
            {member.router for member in told}
            & {member.router for member in asked}
        )
    assert known >= 0.95 * len(context.told), known
