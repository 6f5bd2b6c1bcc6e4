"""Steps about the operators' verbs for failure domains."""

import asyncio

import behave

from features.support import calls
from features.support import control

_CHATS = 24
# From an acknowledged order to the last router that applies it, with room.
_IN_FORCE_S = 0.5
_DOMAIN = 'thu-duc'


@behave.when('an operator evacuates the failure domain {domain}')
def step_evacuate(context, domain):
    context.run(_order(context.world, 'evacuate', domain))


@behave.when('an operator restores the failure domain {domain}')
def step_restore(context, domain):
    context.run(_order(context.world, 'restore', domain))


@behave.when('an operator evacuates a failure domain that does not exist')
def step_evacuate_unknown(context):
    try:
        context.run(_order(context.world, 'evacuate', 'atlantis'))
    except AssertionError as error:
        context.told = str(error)


@behave.when('the leading control replica is killed')
def step_kill(context):
    async def kill():
        world = context.world
        await world.kill(await control.leader(world))
        await control.leader(world)

    context.run(kill())


@behave.then('the status of the fleet shows {domain} as evacuated')
def step_shown(context, domain):
    world = context.world
    addresses = ','.join(world.control.values())
    shown = context.run(world.run_command('fleet', 'status', addresses))
    assert f'evacuated {domain}' in shown, shown


@behave.then('new chats run outside of thu-duc')
def step_outside(context):
    found = context.run(_domains_of_new_chats(context.world))
    assert found and _DOMAIN not in found, found


@behave.then('new chats run in thu-duc as well')
def step_inside(context):
    async def check():
        return _DOMAIN in await _domains_of_new_chats(context.world)

    context.run(context.world.wait_until(check, 'chats run in thu-duc again'))


@behave.then('the error says that it is unknown and names the known ones')
def step_unknown(context):
    assert 'HP-3209' in context.told, context.told
    assert 'thu-duc' in context.told, context.told


async def _order(world, verb, domain):
    addresses = ','.join(world.control.values())
    await world.run_command('fleet', verb, addresses, domain)


async def _domains_of_new_chats(world):
    """Send chats through both routers; return where they ran."""
    await asyncio.sleep(_IN_FORCE_S)
    before = len(world.executions_logged())
    await calls.gather(
        *(
            calls.send(
                world.address(router), calls.chat_request(f'c-{number}')
            )
            for number in range(_CHATS)
            for router in world.routers
        )
    )
    ran = world.executions_logged()[before:]
    return {world.backends[line['instance']]['domain'] for line in ran}
