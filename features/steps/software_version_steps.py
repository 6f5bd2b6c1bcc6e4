"""Steps about streams while instances of several software versions serve."""

import re
from unittest import mock

import attrs
import behave

from features.steps import gateway_steps
from features.support import instances
from honeyport import exchange
from honeyport.router import frames

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
