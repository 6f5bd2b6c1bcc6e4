"""Steps about instances that crash if they reject too many requests."""

import json
from unittest import mock

import attrs
import behave

from features.steps import gateway_steps
from features.support import brittle
from honeyport.gateway import pool
from honeyport.wire import honeyport_pb2 as pb

_SEEDS = (1, 2)
_CRASHES_SHARE = 0.1
_CONNECT_TIMEOUT_S = 5.0


@behave.given(
    '{gateways:d} gateways before {instances:d} instances with {slots:d} '
    'slots and a queue of {queue:d}'
)
def step_fleet(context, gateways, instances, slots, queue):
    context.workload = brittle.Workload(
        gateways=gateways,
        instances=instances,
        slots=slots,
        queue=queue,
        tolerated=0,
        duration_s=0.0,
        overload=0.0,
    )


@behave.given(
    'an instance crashes if it rejects more than {count:d} requests within '
    'one second'
)
def step_tolerated(context, count):
    context.workload = attrs.evolve(context.workload, tolerated=count)


@behave.given(
    'the memory of an instance has room for {count:d} requests, and '
    '{reporter} reports its load'
)
def step_room(context, count, reporter):
    context.workload = attrs.evolve(
        context.workload, room=count, reports_load=reporter == 'it'
    )


@behave.when(
    '{factor:g} times as many requests arrive as the instances can run in '
    '{duration_s:g} s each'
)
def step_burst(context, factor, duration_s):
    workload = attrs.evolve(
        context.workload, overload=factor, duration_s=duration_s
    )
    context.outcomes = [
        brittle.Fleet(workload, seed).play() for seed in _SEEDS
    ]


@behave.then('at most {count:d} and a tenth of the instances crash')
def step_crashes(context, count):
    limit = count + _CRASHES_SHARE * context.workload.instances
    crashes = [outcome.crashes for outcome in context.outcomes]
    assert max(crashes) <= limit, (crashes, limit)


@behave.then('at least {share:g} of the capacity is used')
def step_used(context, share):
    used = [outcome.used for outcome in context.outcomes]
    assert min(used) >= share, used


@behave.then(
    '{served:g} of the requests are served, and at most {refused:g} of them '
    'are refused before'
)
def step_served(context, served, refused):
    for outcome in context.outcomes:
        assert outcome.served >= served * outcome.offered, outcome
        assert len(outcome.retry_times) <= refused * outcome.offered, outcome


@behave.given(
    'a gateway beside another one, before an instance with 8 slots that '
    'answers {steps}'
)
def step_gateway(context, steps):
    # The connection timeout of gateways may be too short beside load.
    patch = mock.patch.object(pool, '_CONNECT_TIMEOUT_S', _CONNECT_TIMEOUT_S)
    patch.start()
    context.add_cleanup(patch.stop)
    context.fixture = gateway_steps.GatewayFixture(steps.split('; '), count=1)
    context.run(context.fixture.start('non_idempotent'))
    context.to_stop.append(context.fixture.stop)
    context.run(_list_gateways(context.fixture))


@behave.when('another gateway reports that the service is brittle')
def step_reported(context):
    async def apply():
        loads = pb.Loads(number=1)
        loads.brittle.add(service='app', rejections=0)
        context.fixture.gateway.state.apply_loads(loads)
        context.fixture.gateway.apply_state()

    context.run(apply())


@behave.then('its reports name a tolerance of {text} rejections')
def step_reports_tolerance(context, text):
    report = pb.Report()

    async def fill():
        context.fixture.gateway._fill_report(report)

    context.run(fill())
    actual = [entry.rejections for entry in report.brittle]
    assert actual == ([] if text == 'no' else [int(text)]), report


@behave.then(
    '{count:d} requests have arrived, and {refused:d} are refused as not run'
)
def step_arrived(context, count, refused):
    messages = []
    for response in context.responses:
        error = json.loads(response.body)['error']
        assert error['ran'] is False, error
        assert float(response.headers['Retry-After']) > 0, response
        messages.append(error['message'])
    arrived = len(context.fixture.script.arrivals)
    assert (arrived, len(messages)) == (count, refused), (arrived, messages)
    assert all('brittle' in message for message in messages), messages


async def _list_gateways(fixture):
    presence = pb.Presence()
    for name in (fixture.name, 'g-2'):
        presence.members.add(
            router=name, domain='thu-duc', address=fixture.address
        )
    fixture.gateway.state.apply_presence(presence)
    fixture.gateway.apply_state()
