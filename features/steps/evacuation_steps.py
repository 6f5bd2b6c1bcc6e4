"""Steps about the evacuation of a failure domain."""

import asyncio
import json
import signal
import time

import behave

from features.steps import platform_steps

_PROPAGATION_S = 1.0  # until all gateways apply an order
_OBSERVATION_S = 1.5
_REFUSAL_S = 0.5  # longest time to a refusal
_TIMEOUT_S = 10.0
_OK = 200
_GATEWAY = 9  # the instance without a replica


@behave.when('an operator evacuates {domain} at any instance')
def step_evacuate(context, domain):
    _send_order(context, domain, 'begin')


@behave.when('an operator evacuates {domain} at instance {number:d}')
def step_evacuate_at(context, domain, number):
    context.platform.target_node = context.platform.node(number)
    _send_order(context, domain, 'begin')


@behave.when('an operator ends the evacuation of {domain} at any instance')
def step_end(context, domain):
    _send_order(context, domain, 'finish')


@behave.when('an operator evacuates {domain} at each instance in turn')
def step_evacuate_each(context, domain):
    _send_order_to_each(context, domain, 'begin')


@behave.when(
    'an operator ends the evacuation of {domain} at each instance in turn'
)
def step_end_each(context, domain):
    _send_order_to_each(context, domain, 'finish')


@behave.when('an operator calls {method} {path}')
def step_call(context, method, path):
    platform = context.platform
    body = b'' if method == 'POST' else None

    async def call():
        leader = await platform_steps.find_leader(platform)
        return await platform.request(leader, 2, path, body)

    context.status, _ = context.run(call())


@behave.when('the leader is killed')
def step_kill_leader(context):
    platform = context.platform
    leader = context.run(platform_steps.find_leader(platform))
    leader.process.kill()
    leader.process.wait()
    context.remaining = [node for node in platform.nodes if node is not leader]


@behave.when(
    'the leader is killed as soon as it acknowledges the evacuation of '
    '{domain}'
)
def step_kill_at_acknowledgement(context, domain):
    platform = context.platform
    leader = context.run(platform_steps.find_leader(platform))
    _send_order(context, domain, 'begin')
    leader.process.kill()
    leader.process.wait()
    assert context.status == _OK, context.status
    context.remaining = [node for node in platform.nodes if node is not leader]


@behave.when('a gateway without a replica is frozen')
def step_freeze_gateway(context):
    context.platform.send_signal(
        context.platform.node(_GATEWAY), signal.SIGSTOP
    )


@behave.then('it is acknowledged within 1 second')
def step_acknowledged(context):
    assert context.status == _OK, context.status
    assert context.took_s < 1.0, context.took_s


@behave.then('all orders are acknowledged')
def step_all_acknowledged(context):
    assert set(context.statuses) == {_OK}, context.statuses


@behave.then('no instance sends a request to thu-duc from then on')
def step_none(context):
    context.run(_check_no_runs(context, context.platform.nodes))


@behave.then('no remaining instance sends a request to thu-duc from then on')
def step_none_remaining(context):
    context.run(_check_no_runs(context, context.remaining))


@behave.then('each refuses requests without delay and as not run')
def step_refuses(context):
    platform = context.platform
    for node in platform.nodes:
        started_at = time.monotonic()
        status, body = context.run(
            platform.send_request(node, f'late-{node.name}')
        )
        assert status == 503, (status, body)
        assert json.loads(body)['error']['ran'] is False
        assert time.monotonic() - started_at < _REFUSAL_S


@behave.then("a caller's request to each of them is answered soon")
def step_answered(context):
    platform = context.platform

    async def check():
        for number, node in enumerate(platform.nodes):
            await platform_steps.wait_until(
                lambda node=node, number=number: _is_answered(
                    platform, node, number
                ),
                _TIMEOUT_S,
            )

    context.run(check())


async def _is_answered(platform, node, number):
    status, _ = await platform.send_request(node, f'again-{number}')
    return status == _OK


def _send_order(context, domain, verb):
    started_at = time.monotonic()
    context.status = context.run(
        context.platform.order_evacuation(domain, verb)
    )
    context.took_s = time.monotonic() - started_at


def _send_order_to_each(context, domain, verb):
    platform = context.platform
    context.statuses = []
    for node in platform.nodes:
        platform.target_node = node
        context.statuses.append(
            context.run(platform.order_evacuation(domain, verb))
        )
    platform.target_node = None


async def _check_no_runs(context, nodes):
    """Check that nothing runs in the domain once the order is in force.

    The service's only instance is in this domain.
    """
    platform = context.platform
    await asyncio.sleep(_PROPAGATION_S)
    run_count = len(platform.executed_ids)
    deadline = time.monotonic() + _OBSERVATION_S
    number = 0
    while time.monotonic() < deadline:
        for node in nodes:
            number += 1
            await platform.send_request(node, f'evacuated-{number}')
    assert len(platform.executed_ids) == run_count, platform.executed_ids[
        run_count:
    ]
