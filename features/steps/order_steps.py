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
    context.run(start(context.world, control, routers, engines))


async def start(world, control, routers, engines):
    """Start a fleet whose odd engines check the fencing number."""
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
    await await_all(world, lambda s: s['models'] == {'draft': '1'})
    (world.folder / 'weights.jsonl').write_text('')


async def state(world, name):
    """Return what an engine says it is."""
    reply = await calls.send(world.address(name), calls.get_request('/orders'))
    return json.loads(reply.body) if reply.status == 200 else None


async def await_all(world, check, names=None):
    """Wait until all engines are as wanted, and load no more."""

    async def all_are():
        for name in names or world.backends:
            found = await state(world, name)
            if found is None or found['loading'] or not check(found):
                return False
        return True

    await world.wait_until(all_are, 'all engines are as wanted')


def loads(world):
    """Return the weight store's log."""
    lines = (world.folder / 'weights.jsonl').read_text().splitlines()
    return [json.loads(line) for line in lines]


@behave.when('version "{version}" of the model is rolled out')
def step_roll_version(context, version):
    context.run(roll_version(context, version))


async def roll_version(context, version):
    world = context.world
    world.model['version'] = version
    rolling = asyncio.ensure_future(world.roll_out())
    context.turns = []
    for number in range(30):
        address = world.address(world.routers[number % len(world.routers)])
        context.turns.append(
            await calls.send(address, calls.chat_request(f'during-{number}'))
        )
    await rolling


@behave.when(
    'version "{version}" of the model is rolled out and the leader is killed'
)
def step_roll_kill(context, version):
    context.run(roll_kill(context, version))


async def roll_kill(context, version):
    world = context.world
    world.model['version'] = version
    name = await control.leader(world)
    await world.roll_out()
    await world.wait_until(lambda: loads(world), 'the first load begins')
    await world.kill(name)


@behave.when('every engine has version "{version}"')
@behave.then('every engine has version "{version}"')
def step_has_version(context, version):
    context.run(
        await_all(context.world, lambda s: s['models'] == {'draft': version})
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
    wanted = set(adapters.split(', '))
    context.run(
        await_all(
            context.world,
            lambda s: set(s['adapters']) == wanted and s['role'] == role,
        )
    )


@behave.then('the weight store never served more than {most:d} loads at once')
def step_paced(context, most):
    served = [x['running'] for x in loads(context.world) if 'running' in x]
    assert served and max(served) <= most, served


@behave.then('the weight store refused nothing')
def step_no_refusal(context):
    counted = collections.Counter(x['event'] for x in loads(context.world))
    assert not counted['refused'], counted


@behave.then('all turns sent during the rollout were answered')
def step_turns(context):
    assert all(reply.is_complete for reply in context.turns), [
        reply for reply in context.turns if not reply.is_complete
    ][:2]


@behave.when(
    'a late order for version "{version}" with an old fencing number is sent'
)
def step_late_order(context, version):
    context.run(late_order(context, version))


async def late_order(context, version):
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
    context.answers = {
        name: await calls.send(world.address(name), request)
        for name in world.backends
    }


@behave.then('the engines that check the number refuse it')
def step_refuse(context):
    for name, reply in context.answers.items():
        checks = context.world.backends[name]['checks_fencing']
        assert reply.status == (409 if checks else 200), (name, reply)


@behave.then('the engines that ignore the number return to version "2"')
def step_put_right(context):
    world = context.world
    ignoring = [
        name
        for name, backend in world.backends.items()
        if not backend['checks_fencing']
    ]
    context.run(
        await_all(world, lambda s: s['models'] == {'draft': '2'}, ignoring)
    )


@behave.then('the frozen leader resumes and sends no more orders')
def step_orders_nothing(context):
    world = context.world
    before = len(ordered(world, context.leader))
    world.send_signal(context.leader, signal.SIGCONT)
    control_steps.step_leads_no_more(context)
    context.run(asyncio.sleep(0.5))
    assert len(ordered(world, context.leader)) == before
    context.run(await_all(world, lambda s: s['models'] == {'draft': '2'}))


def ordered(world, name):
    """Return the orders that a replica logged."""
    return [line for line in world.log_lines(name) if line['number'] == 2301]
