"""Steps about orders to engines."""

import asyncio
import collections
import json
import signal

import behave

from features.steps import control_steps
from features.steps import fleet_steps
from features.support import calls
from features.support import control
from honeyport.backend import http
from honeyport import local


@behave.given(
    'a fleet of {control:d} control replicas, {routers:d} routers, '
    '{engines:d} engines and a weight store'
)
def step_weights(context, control, routers, engines):
    context.run(
        start_with_weight_store(context.world, control, routers, engines)
    )


async def start_with_weight_store(world, control, routers, engines):
    """Start a fleet whose odd-numbered engines check the fencing number."""
    address = local.free_address()
    world.settings['weights'] = {
        'name': 'weights',
        'domain': 'thu-duc',
        'listen': address,
        'executions': str(world.folder / 'weights.jsonl'),
    }
    world.start('weights', 'standin', 'weights')
    for number in range(1, engines + 1):
        name = f'draft-llm-{number}'
        world.start_engine(
            name, weights=address, checks_fencing=number % 2 == 1
        )
        world.backends[name]['checks_fencing'] = number % 2 == 1
    world.start_control(control)
    for number in range(1, routers + 1):
        world.start_router(f'router-{number}')
    await world.roll_out()
    await fleet_steps.wait_until_healthy(world)
    await wait_for_state(
        world, lambda state: state['models'] == {'draft': '1'}
    )
    (world.folder / 'weights.jsonl').write_text('')


async def reported_state(world, name):
    """Return an engine's reported state, or ``None``."""
    reply = await calls.send(world.address(name), calls.get_request('/orders'))
    return json.loads(reply.body) if reply.status == 200 else None


async def wait_for_state(world, check, names=None):
    """Wait until all engines pass a check and load no weights."""

    async def all_pass():
        for name in names or world.backends:
            engine_state = await reported_state(world, name)
            if (
                engine_state is None
                or engine_state['loading']
                or not check(engine_state)
            ):
                return False
        return True

    await world.wait_until(all_pass, 'all engines have the ordered state')


def weight_store_log(world):
    """Return the lines of the weight store's log."""
    lines = (world.folder / 'weights.jsonl').read_text().splitlines()
    return [json.loads(line) for line in lines]


@behave.when('version "{version}" of the model is rolled out')
def step_roll_version(context, version):
    context.run(roll_out_version(context, version))


async def roll_out_version(context, version):
    world = context.world
    world.model['version'] = version
    rollout = asyncio.ensure_future(world.roll_out())
    context.rollout_replies = []
    for number in range(30):
        address = world.address(world.routers[number % len(world.routers)])
        context.rollout_replies.append(
            await calls.send(address, calls.chat_request(f'during-{number}'))
        )
    await rollout


@behave.when(
    'version "{version}" of the model is rolled out and the leader is killed'
)
def step_roll_kill(context, version):
    context.run(roll_out_and_kill_leader(context, version))


async def roll_out_and_kill_leader(context, version):
    world = context.world
    world.model['version'] = version
    name = await control.leader(world)
    await world.roll_out()
    await world.wait_until(
        lambda: weight_store_log(world), 'the first load begins'
    )
    await world.kill(name)


@behave.when('every engine has version "{version}"')
@behave.then('every engine has version "{version}"')
def step_has_version(context, version):
    context.run(
        wait_for_state(
            context.world, lambda state: state['models'] == {'draft': version}
        )
    )


@behave.when('adapters "{adapters}" and role "{role}" are rolled out')
def step_adapters(context, adapters, role):
    world = context.world
    world.model['adapters'] = adapters.split(', ')
    for backend in world.backends.values():
        backend['role'] = role
    context.run(world.roll_out())


@behave.then('every engine has adapters "{adapters}" and role "{role}"')
def step_has_adapters(context, adapters, role):
    expected = set(adapters.split(', '))
    context.run(
        wait_for_state(
            context.world,
            lambda state: (
                set(state['adapters']) == expected and state['role'] == role
            ),
        )
    )


@behave.then('the weight store never served more than {most:d} loads at once')
def step_load_limit(context, most):
    running = [
        line['running']
        for line in weight_store_log(context.world)
        if 'running' in line
    ]
    assert running and max(running) <= most, running


@behave.then('the weight store refused nothing')
def step_no_refusal(context):
    event_counts = collections.Counter(
        line['event'] for line in weight_store_log(context.world)
    )
    assert not event_counts['refused'], event_counts


@behave.then('all turns sent during the rollout were answered')
def step_turns(context):
    assert all(reply.is_complete for reply in context.rollout_replies), [
        reply for reply in context.rollout_replies if not reply.is_complete
    ][:2]


@behave.when(
    'a late order for version "{version}" with an old fencing number is sent'
)
def step_late_order(context, version):
    context.run(send_late_order(context, version))


async def send_late_order(context, version):
    world = context.world
    order = {
        'fence': 1,
        'model': 'draft',
        'version': version,
        'adapters': [],
        'role': 'mixed',
    }
    request = http.Request(
        method='POST', path='/orders', body=json.dumps(order).encode()
    )
    context.order_replies = {
        name: await calls.send(world.address(name), request)
        for name in world.backends
    }


@behave.then('the engines that check the number refuse it')
def step_refuse(context):
    for name, reply in context.order_replies.items():
        checks = context.world.backends[name]['checks_fencing']
        assert reply.status == (409 if checks else 200), (name, reply)


@behave.then('the engines that ignore the number return to version "2"')
def step_restored(context):
    world = context.world
    unchecked = [
        name
        for name, backend in world.backends.items()
        if not backend['checks_fencing']
    ]
    context.run(
        wait_for_state(
            world, lambda state: state['models'] == {'draft': '2'}, unchecked
        )
    )


@behave.then('the frozen leader resumes and sends no more orders')
def step_no_more_orders(context):
    world = context.world
    count_before = len(sent_orders(world, context.leader))
    world.send_signal(context.leader, signal.SIGCONT)
    control_steps.step_stepped_down(context)
    context.run(asyncio.sleep(0.5))
    assert len(sent_orders(world, context.leader)) == count_before
    context.run(
        wait_for_state(world, lambda state: state['models'] == {'draft': '2'})
    )


def sent_orders(world, name):
    """Return the log lines of orders that a replica sent."""
    return [line for line in world.log_lines(name) if line['number'] == 2301]
