"""Steps about control replicas that are cut off, damaged or lose disks."""

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
    """Start a fleet with a relay on each way between two replicas."""
    names = [f'control-{number}' for number in (1, 2, 3)]
    world.control = {name: local.free_address() for name in names}
    for number, name in enumerate(names):
        reach = {}
        for other in names:
            if other != name:
                way = await world.start_relay(
                    f'{name}>{other}', world.control[other]
                )
                reach[other] = way.address
        world.settings[name] = world._control_settings(
            name, number, reach=reach
        )
        world.start(name, 'control')
    world.start_service('field-app-1')
    for number in (1, 2):
        world.start_router(f'router-{number}')
    await world.roll_out()
    await fleet_steps.wait_until_healthy(world)


@behave.when('the leader is isolated from the other replicas')
def step_cut(context):
    world = context.world
    context.leader = context.run(control.leader(world))
    for name, way in world.relays.items():
        if context.leader in name.split('>'):
            way.cut()


@behave.when('a change is submitted to the isolated leader')
def step_submit_cut(context):
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

    context.lost = context.run(submit())


@behave.then('the change gets no receipt')
def step_no_receipt(context):
    assert not getattr(context.lost, 'digest', ''), context.lost


@behave.when('a change is made through the majority')
def step_change_other_side(context):
    world = context.world
    context.run(control.leader(world, excluded=(context.leader,)))
    context.run(control.submit_change(world))


@behave.when('the leader is no longer isolated')
def step_mend(context):
    for way in context.world.relays.values():
        way.heal()


@behave.then('all replicas hold the same version {version:d}')
def step_same_version(context, version):
    world = context.world

    async def check():
        leading = await control.status(
            world.control[await control.leader(world)]
        )
        return leading is not None and all(
            replica.matched >= leading.commit for replica in leading.replicas
        )

    context.run(world.wait_until(check, 'all replicas have caught up'))
    answer = context.run(
        control.status(world.control[context.run(control.leader(world))])
    )
    assert [one.version for one in answer.history] == [1, version]
    limits = answer.entries['limits']
    assert '"queue":77' not in limits, limits


@behave.when('a follower loses its disk and is started again')
def step_lose_disk(context):
    context.run(lose_disk(context))


async def lose_disk(context):
    world = context.world
    context.leader = await control.leader(world)
    context.lost = control.followers(world, context.leader)[0]
    context.disk = (await control.identify(world.control[context.lost])).disk
    await world.kill(context.lost)
    shutil.rmtree(world.settings[context.lost]['data'])
    world.start(context.lost, 'control')


def await_vote(context):
    """Wait until the follower that lost its disk votes again."""
    world = context.world
    context.run(
        world.wait_until(
            lambda: control.has_caught_up(world, context.lost),
            'it votes again',
        )
    )


@behave.when('the other follower is killed as soon as the first votes again')
def step_kill_other(context):
    world = context.world
    await_vote(context)
    other = control.followers(world, context.leader)[1]
    context.run(world.kill(other))


@behave.then('it logs that it is not admitted')
def step_not_admitted(context):
    world = context.world

    def check():
        numbers = [line['number'] for line in world.log_lines(context.lost)]
        return numbers.count(2005) == 1

    context.run(world.wait_until(check, 'it notes that it is not admitted'))


@behave.then('it votes again once it has caught up')
def step_votes_again(context):
    world = context.world
    await_vote(context)
    found = context.run(control.identify(world.control[context.lost]))
    assert found.disk != context.disk


@behave.when(
    'a record in the log of a follower is damaged and it is started again'
)
def step_damage(context):
    context.run(damage(context))


async def damage(context):
    world = context.world
    context.lost = control.followers(world, await control.leader(world))[0]
    await world.kill(context.lost)
    path = pathlib.Path(world.settings[context.lost]['data']) / 'log'
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 0xFF
    path.write_bytes(data)
    world.start(context.lost, 'control')


@behave.then('it exits with the error "{code}"')
def step_typed_end(context, code):
    world = context.world
    assert context.run(world.wait_exit(context.lost)) == 2
    text = (world.folder / f'{context.lost}.log').read_text()
    assert code in text
    assert 'Traceback' not in text
