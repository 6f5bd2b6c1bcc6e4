"""Steps about control replicas that are isolated or lose data."""

import pathlib
import shutil

import behave
import grpc

from features.steps import fleet_steps
from features.support import control
from honeyport import local
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc


@behave.given('a fleet of 3 control replicas behind relays and 2 routers')
def step_behind_relays(context):
    context.run(start_behind_relays(context.world))


async def start_behind_relays(world):
    """Start a fleet with a relay for each direction between two replicas."""
    names = [f'control-{number}' for number in (1, 2, 3)]
    world.control = {name: local.free_address() for name in names}
    for number, name in enumerate(names):
        relay_addresses = {}
        for peer in names:
            if peer != name:
                relay = await world.start_relay(
                    f'{name}>{peer}', world.control[peer]
                )
                relay_addresses[peer] = relay.address
        world.settings[name] = world._control_settings(
            name, number, reach=relay_addresses
        )
        world.start(name, 'control')
    world.start_service('field-app-1')
    for number in (1, 2):
        world.start_router(f'router-{number}')
    await world.roll_out()
    await fleet_steps.wait_until_healthy(world)


@behave.when('the leader is isolated from the other replicas')
def step_isolate_leader(context):
    world = context.world
    context.leader = context.run(control.leader(world))
    for name, relay in world.relays.items():
        if context.leader in name.split('>'):
            relay.cut()


@behave.when('a change is submitted to the isolated leader')
def step_submit_to_isolated(context):
    world = context.world
    world.limits['queue'] = 77
    path = world.sign(world.bundle(), 'lost')
    signed = pathlib.Path(path).read_text()
    address = world.control[context.leader]

    async def submit():
        channel = channels.connect(address)
        try:
            stub = rpc.OperatorStub(channel)
            request = pb.SubmitRequest(signed=signed)
            return await stub.Submit(request, timeout=2.0)
        except grpc.aio.AioRpcError as error:
            return error
        finally:
            await channel.close()

    context.submit_result = context.run(submit())


@behave.then('the change gets no receipt')
def step_no_receipt(context):
    assert not getattr(context.submit_result, 'digest', ''), (
        context.submit_result
    )


@behave.when('a change is made through the majority')
def step_change_through_majority(context):
    world = context.world
    context.run(control.leader(world, excluded=(context.leader,)))
    context.run(control.submit_change(world))


@behave.when('the leader is no longer isolated')
def step_end_isolation(context):
    for relay in context.world.relays.values():
        relay.heal()


@behave.then('all replicas hold the same version {version:d}')
def step_same_version(context, version):
    world = context.world

    async def have_caught_up():
        leader_status = await control.status(
            world.control[await control.leader(world)]
        )
        return leader_status is not None and all(
            replica.matched >= leader_status.commit
            for replica in leader_status.replicas
        )

    context.run(
        world.wait_until(have_caught_up, 'all replicas have caught up')
    )
    status = context.run(
        control.status(world.control[context.run(control.leader(world))])
    )
    assert [entry.version for entry in status.history] == [1, version]
    limits = status.entries['limits']
    assert '"queue":77' not in limits, limits


@behave.when('a follower loses its disk and is started again')
def step_lose_disk(context):
    context.run(lose_disk(context))


async def lose_disk(context):
    world = context.world
    context.leader = await control.leader(world)
    context.follower = control.followers(world, context.leader)[0]
    context.disk = (
        await control.identify(world.control[context.follower])
    ).disk
    await world.kill(context.follower)
    shutil.rmtree(world.settings[context.follower]['data'])
    world.start(context.follower, 'control')


def wait_for_vote(context):
    """Wait until the follower that lost its disk votes again."""
    world = context.world
    context.run(
        world.wait_until(
            lambda: control.has_caught_up(world, context.follower),
            'it votes again',
        )
    )


@behave.when('the other follower is killed as soon as the first votes again')
def step_kill_other_follower(context):
    world = context.world
    wait_for_vote(context)
    other_follower = control.followers(world, context.leader)[1]
    context.run(world.kill(other_follower))


@behave.then('it logs that it is not admitted')
def step_not_admitted(context):
    world = context.world

    def is_logged():
        numbers = [
            line['number'] for line in world.log_lines(context.follower)
        ]
        return numbers.count(2005) == 1

    context.run(world.wait_until(is_logged, 'it logs that it is not admitted'))


@behave.then('it votes again once it has caught up')
def step_votes_again(context):
    world = context.world
    wait_for_vote(context)
    identity = context.run(control.identify(world.control[context.follower]))
    assert identity.disk != context.disk


@behave.when(
    'a record in the log of a follower is damaged and it is started again'
)
def step_damage(context):
    context.run(damage_record(context))


async def damage_record(context):
    world = context.world
    context.follower = control.followers(world, await control.leader(world))[0]
    await world.kill(context.follower)
    path = pathlib.Path(world.settings[context.follower]['data']) / 'log'
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 0xFF
    path.write_bytes(data)
    world.start(context.follower, 'control')


@behave.then('it exits with the error "{code}"')
def step_exit_error(context, code):
    world = context.world
    assert context.run(world.wait_exit(context.follower)) == 2
    text = (world.folder / f'{context.follower}.log').read_text()
    assert code in text
    assert 'Traceback' not in text
