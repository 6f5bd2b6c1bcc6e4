"""Steps about control replicas and the configuration they hold."""

import asyncio
import pathlib
import shutil
import signal

import behave
import grpc
import yaml

from features.steps import fleet_steps
from honeyport.bundle import entries
from honeyport.bundle import files
from honeyport.bundle import signing
from honeyport import local
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc

_ASK_S = 0.5
_LEADER_S = 15.0


async def status(address):
    """Ask one replica for its status; ``None`` if it does not answer."""
    channel = channels.connect(address)
    try:
        stub = rpc.OperatorStub(channel)
        return await stub.Status(pb.StatusRequest(), timeout=_ASK_S)
    except grpc.aio.AioRpcError:
        return None
    finally:
        await channel.close()


async def identify(address):
    """Ask a replica which disk it has."""
    channel = channels.connect(address)
    try:
        stub = rpc.ReplicaStub(channel)
        return await stub.Identify(pb.IdentifyRequest(), timeout=_ASK_S)
    except grpc.aio.AioRpcError:
        return None
    finally:
        await channel.close()


async def leader(world, but=()):
    """Return the name of the replica that leads, when there is one."""

    async def find():
        for name, address in world.control.items():
            if name in but:
                continue
            answer = await status(address)
            if answer is not None and not answer.failure.code:
                return name
        return None

    return await world.until(find, 'a replica leads', _LEADER_S)


def followers(world, leading):
    """Return the names of the other replicas."""
    return [name for name in world.control if name != leading]


async def change(world):
    """Make the next change and wait until it is in force."""
    world.limits['queue'] = 100 + world.version
    await world.roll()


async def versions(world):
    """Return the version in force on each running router."""
    found = {}
    for name in world.routers:
        if world.processes[name].poll() is None:
            reply = await fleet_steps.calls.send(
                world.address(name), fleet_steps.calls.get('/metrics')
            )
            for line in reply.body.decode().splitlines():
                if line.startswith('honeyport_config_version '):
                    found[name] = int(float(line.split()[1]))
    return found


@behave.when('each control replica is killed, started again and a change made')
def step_kill_each(context):
    context.run(kill_each(context.world))


async def kill_each(world):
    for name in list(world.control):
        await world.kill(name)
        await change(world)
        world.start(name, 'control')
        await world.until(
            lambda name=name: caught_up(world, name), f'{name} caught up'
        )


async def caught_up(world, name):
    """Whether a replica answers and may vote."""
    answer = await identify(world.control[name])
    return answer is not None and answer.admitted and answer.last_index


@behave.then('version {version:d} is in force on every router')
def step_in_force(context, version):
    world = context.world

    async def check():
        found = await versions(world)
        return found and set(found.values()) == {version}

    context.run(world.until(check, f'version {version} is in force'))


@behave.then('no router ever went back to a lower version')
def step_never_back(context):
    for name in context.world.routers:
        applied = [
            line['version']
            for line in context.world.log(name)
            if line['number'] == 3001
        ]
        assert applied == sorted(set(applied)), (name, applied)


@behave.when('a change is submitted and the leader killed at once')
def step_kill_mid_submit(context):
    context.run(kill_mid_submit(context))


async def kill_mid_submit(context):
    world = context.world
    name = await leader(world)
    world.limits['queue'] = 33
    path = world.sign(world.bundle(), 'next')
    submitting = asyncio.ensure_future(world.submit(path, wait=False))
    await asyncio.sleep(0.55)
    await world.kill(name)
    context.receipt = await submitting
    world.version += 1


@behave.then('the operator gets a receipt for version {version:d}')
def step_receipt(context, version):
    assert f'accepted version {version}' in context.receipt


@behave.when('the leader freezes')
def step_freeze_leader(context):
    context.leader = context.run(leader(context.world))
    context.world.signal(context.leader, signal.SIGSTOP)


@behave.when('a change is made')
def step_change(context):
    context.run(change(context.world))


@behave.when('the frozen leader wakes')
def step_wake(context):
    context.world.signal(context.leader, signal.SIGCONT)


@behave.then('the frozen leader leads no more')
def step_leads_no_more(context):
    world = context.world

    async def check():
        answer = await status(world.control[context.leader])
        return answer is not None and answer.failure.code == 'HP-2003'

    context.run(world.until(check, 'it knows that it leads no more'))


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
                way = await world.relay(
                    f'{name}>{other}', world.control[other]
                )
                reach[other] = way.address
        world.settings[name] = world._control(name, number, reach=reach)
        world.start(name, 'control')
    world.start_service('field-app-1')
    for number in (1, 2):
        world.start_router(f'router-{number}')
    await world.roll()
    await fleet_steps.ready(world)


@behave.when('the leader is cut off from the other replicas')
def step_cut(context):
    world = context.world
    context.leader = context.run(leader(world))
    for name, way in world.relays.items():
        if context.leader in name.split('>'):
            way.cut()


@behave.when('a change is submitted to the leader that is cut off')
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


@behave.then('the change gets no receipt there')
def step_no_receipt(context):
    assert not getattr(context.lost, 'digest', ''), context.lost


@behave.when('a change is made on the other side')
def step_change_other_side(context):
    world = context.world
    context.run(leader(world, but=(context.leader,)))
    context.run(change(world))


@behave.when('the leader is no longer cut off')
def step_mend(context):
    for way in context.world.relays.values():
        way.mend()


@behave.then('all replicas hold the same version {version:d}')
def step_same_version(context, version):
    world = context.world

    async def check():
        leading = await status(world.control[await leader(world)])
        return leading is not None and all(
            replica.matched >= leading.commit for replica in leading.replicas
        )

    context.run(world.until(check, 'all replicas have caught up'))
    answer = context.run(status(world.control[context.run(leader(world))]))
    assert [one.version for one in answer.history] == [1, version]
    limits = answer.entries['limits']
    assert '"queue":77' not in limits, limits


@behave.when('a follower loses its disk and is started again')
def step_lose_disk(context):
    context.run(lose_disk(context))


async def lose_disk(context):
    world = context.world
    context.leader = await leader(world)
    context.lost = followers(world, context.leader)[0]
    context.disk = (await identify(world.control[context.lost])).disk
    await world.kill(context.lost)
    shutil.rmtree(world.settings[context.lost]['data'])
    world.start(context.lost, 'control')


@behave.when('the other follower is killed as soon as the first votes again')
def step_kill_other(context):
    world = context.world
    context.run(
        world.until(lambda: caught_up(world, context.lost), 'it votes again')
    )
    other = followers(world, context.leader)[1]
    context.run(world.kill(other))


@behave.then('it says that it is not admitted')
def step_not_admitted(context):
    world = context.world

    def check():
        numbers = [line['number'] for line in world.log(context.lost)]
        return numbers.count(2005) == 1

    context.run(world.until(check, 'it notes that it is not admitted'))


@behave.then('it votes again once it has caught up')
def step_votes_again(context):
    world = context.world
    context.run(
        world.until(lambda: caught_up(world, context.lost), 'it votes again')
    )
    found = context.run(identify(world.control[context.lost]))
    assert found.disk != context.disk


@behave.when(
    'a record in the log of a follower is damaged and it is started again'
)
def step_damage(context):
    context.run(damage(context))


async def damage(context):
    world = context.world
    context.lost = followers(world, await leader(world))[0]
    await world.kill(context.lost)
    path = pathlib.Path(world.settings[context.lost]['data']) / 'log'
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 0xFF
    path.write_bytes(data)
    world.start(context.lost, 'control')


@behave.then('it ends with a typed error "{code}"')
def step_typed_end(context, code):
    world = context.world
    assert context.run(world.wait_exit(context.lost)) == 2
    text = (world.folder / f'{context.lost}.log').read_text()
    assert code in text
    assert 'Traceback' not in text


@behave.when('two operators submit different bundles as version 2 at once')
def step_race(context):
    world = context.world
    context.paths = []
    for queue in (41, 42):
        world.limits['queue'] = queue
        path = world.sign(world.bundle(2), f'race-{queue}')
        context.paths.append(path)
    context.answers = context.run(submit_all(world, context.paths))
    world.version = 2


async def submit_all(world, paths):
    """Submit bundles at once; return receipts and errors."""
    return await asyncio.gather(
        *(world.submit(path, wait=False) for path in paths),
        return_exceptions=True,
    )


@behave.then('one of them gets a receipt and the other a conflict "{code}"')
def step_one_winner(context, code):
    texts = [str(answer) for answer in context.answers]
    assert sum('accepted version 2' in text for text in texts) == 1, texts
    assert sum(code in text for text in texts) == 1, texts


@behave.when('both submit the same again')
def step_resend(context):
    context.again = context.run(submit_all(context.world, context.paths))


@behave.then('they get the same answers as before')
def step_same_answers(context):
    assert [str(answer) for answer in context.again] == [
        str(answer) for answer in context.answers
    ]


@behave.when('"{router}" is killed and a change is made and it starts again')
def step_restart_router(context, router):
    world = context.world
    context.run(world.kill(router))
    context.run(change(world))
    world.start_router(router)


@behave.when('{count:d} changes are made')
def step_many(context, count):
    context.run(many(context.world, count))


async def many(world, count):
    """Submit many small changes to the leader, one after another."""
    address = world.control[await leader(world)]
    channel = channels.connect(address)
    stub = rpc.OperatorStub(channel)
    for _ in range(count):
        world.limits['queue'] = 100 + world.version
        signed = sign_quickly(world)
        answer = await stub.Submit(
            pb.SubmitRequest(signed=signed.to_json()), timeout=5
        )
        assert answer.digest == signed.digest, answer
        world.version += 1
    await channel.close()


def sign_quickly(world):
    """Return the next bundle, signed, without the command line."""
    path = world.folder / 'many.yaml'
    path.write_text(yaml.safe_dump(world.bundle()))
    bundle = files.load(path)
    signed = signing.Signed(bundle.version, entries.split(bundle), {})
    return signing.sign(signed, str(world.folder / 'keys' / 'ops.pem'))


@behave.when('all control replicas are killed and started again')
def step_restart_all(context):
    world = context.world
    for name in world.control:
        context.run(world.kill(name))
    for name in world.control:
        world.start(name, 'control')
    context.run(leader(world))


@behave.when('a change signed by a stranger is submitted')
def step_stranger(context):
    world = context.world
    signing.new_key(str(world.folder / 'stranger'), 'ops')
    bundle = world.folder / 'bundle-next.yaml'
    world.sign(world.bundle(), 'bundle-next')
    out = world.folder / 'strange.json'
    context.run(
        world.command(
            'bundle',
            'sign',
            str(bundle),
            str(world.folder / 'stranger' / 'ops.pem'),
            str(out),
        )
    )
    context.answers = context.run(submit_all(world, [str(out)]))


@behave.then('it is refused by control with "{code}"')
def step_refused_by_control(context, code):
    assert code in str(context.answers[0]), context.answers
