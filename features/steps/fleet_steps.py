"""Steps that start a fleet of processes."""

import behave

from features.support import calls


async def wait_until_healthy(world):
    """Wait until every running router is healthy."""
    for name in world.routers:
        if world.processes[name].poll() is not None:
            continue
        await world.wait_until(
            lambda name=name: is_healthy(world, name), f'{name} serves'
        )


async def is_healthy(world, name):
    """Return whether a router's health check succeeds."""
    reply = await calls.send(
        world.address(name), calls.get_request('/healthz')
    )
    return reply.status == 200


async def start_fleet(world, control, routers, engines, services, **engine):
    """Start all processes and roll out the first bundle.

    :param engine: settings of the engines
    """
    world.start_control(control)
    for number in range(1, engines + 1):
        world.start_engine(f'draft-llm-{number}', **engine)
    for number in range(1, services + 1):
        world.start_service(f'field-app-{number}')
    for number in range(1, routers + 1):
        world.start_router(f'router-{number}')
    await world.roll_out()
    await wait_until_healthy(world)
    await world.wait_until(
        lambda: all_backends_serve(world), 'every backend server has a steward'
    )


async def all_backends_serve(world):
    """Return whether every backend server has a steward that admits work.

    Then clears the execution log of the requests sent to find out.
    """
    for name in world.backends:
        service = world.backends[name]['service']
        path = f'/services/{service}/ping'
        if service == 'field-app':
            request = calls.get_request(path)
            request = calls.http.Request(
                method='GET',
                path=path,
                headers=[
                    ('Honeyport-Account', 'district-1'),
                    ('Honeyport-Placement', name),
                    ('Honeyport-Deadline', '3'),
                ],
            )
        else:
            request = calls.chat_request(
                'warm-up',
                tokens=1,
                Honeyport_Placement=name,
                Honeyport_Deadline='3',
            )
        reply = await calls.send(world.address(world.routers[0]), request)
        if reply.status != 200:
            return False
    world.executions_path.write_text('')
    return True


@behave.given(
    'a fleet of {control:d} control replicas, {routers:d} routers, '
    '{engines:d} engines and {services:d} services'
)
def step_fleet(context, control, routers, engines, services):
    context.run(
        start_fleet(context.world, control, routers, engines, services)
    )


@behave.given(
    'a fleet of {control:d} control replicas, {routers:d} routers and '
    '{engines:d} engines'
)
def step_fleet_engines(context, control, routers, engines):
    context.run(start_fleet(context.world, control, routers, engines, 0))


@behave.given(
    'a fleet of {control:d} control replicas, {routers:d} routers and '
    '{services:d} services'
)
def step_fleet_services(context, control, routers, services):
    context.run(start_fleet(context.world, control, routers, 0, services))
