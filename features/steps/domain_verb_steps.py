"""Steps about the operator commands for failure domains."""

import asyncio

import behave

from features.support import calls
from features.support import control

_CHAT_COUNT = 24
_PROPAGATION_S = 0.5  # until all routers apply an acknowledged command
_DOMAIN = 'thu-duc'


@behave.when('an operator evacuates the failure domain {domain}')
def step_evacuate(context, domain):
    context.run(_run_fleet_command(context.world, 'evacuate', domain))


@behave.when('an operator restores the failure domain {domain}')
def step_restore(context, domain):
    context.run(_run_fleet_command(context.world, 'restore', domain))


@behave.when('an operator evacuates a failure domain that does not exist')
def step_evacuate_unknown(context):
    try:
        context.run(_run_fleet_command(context.world, 'evacuate', 'atlantis'))
    except AssertionError as error:
        context.error_text = str(error)


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
    output = context.run(world.run_command('fleet', 'status', addresses))
    assert f'evacuated {domain}' in output, output


@behave.then('new chats run outside of thu-duc')
def step_outside(context):
    domains = context.run(_domains_of_new_chats(context.world))
    assert domains and _DOMAIN not in domains, domains


@behave.then('new chats run in thu-duc as well')
def step_inside(context):
    async def runs_in_domain():
        return _DOMAIN in await _domains_of_new_chats(context.world)

    context.run(
        context.world.wait_until(runs_in_domain, 'chats run in thu-duc again')
    )


@behave.then('the error says that it is unknown and names the known ones')
def step_unknown(context):
    assert 'HP-3209' in context.error_text, context.error_text
    assert 'thu-duc' in context.error_text, context.error_text


async def _run_fleet_command(world, verb, domain):
    addresses = ','.join(world.control.values())
    await world.run_command('fleet', verb, addresses, domain)


async def _domains_of_new_chats(world):
    """Send chats through all routers; return the domains they ran in."""
    await asyncio.sleep(_PROPAGATION_S)
    count_before = len(world.executions_logged())
    await calls.gather(
        *(
            calls.send(
                world.address(router), calls.chat_request(f'c-{number}')
            )
            for number in range(_CHAT_COUNT)
            for router in world.routers
        )
    )
    lines = world.executions_logged()[count_before:]
    return {world.backends[line['instance']]['domain'] for line in lines}
