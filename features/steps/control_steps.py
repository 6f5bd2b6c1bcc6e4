"""Steps about configuration changes and their acknowledgement."""

import asyncio
import signal

import behave
import yaml

from features.support import control
from honeyport.bundle import entries
from honeyport.bundle import files
from honeyport.bundle import signing
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc


@behave.when(
    'each control replica is killed, a change made and it is restarted'
)
def step_kill_each(context):
    context.run(kill_each(context.world))


async def kill_each(world):
    for name in list(world.control):
        await world.kill(name)
        await control.submit_change(world)
        world.start(name, 'control')
        await world.wait_until(
            lambda name=name: control.has_caught_up(world, name),
            f'{name} caught up',
        )


@behave.then('version {version:d} is in force on every router')
def step_in_force(context, version):
    world = context.world

    async def is_in_force():
        versions = await control.versions_in_force(world)
        return versions and set(versions.values()) == {version}

    context.run(
        world.wait_until(is_in_force, f'version {version} is in force')
    )


@behave.then('no router ever went back to a lower version')
def step_no_revert(context):
    for name in context.world.routers:
        applied = [
            line['version']
            for line in context.world.log_lines(name)
            if line['number'] == 3001
        ]
        assert applied == sorted(set(applied)), (name, applied)


@behave.when('a change is submitted and the leader is killed at once')
def step_kill_during_submit(context):
    context.run(kill_during_submit(context))


async def kill_during_submit(context):
    world = context.world
    name = await control.leader(world)
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
    context.leader = context.run(control.leader(context.world))
    context.world.send_signal(context.leader, signal.SIGSTOP)


@behave.when('a change is made')
def step_change(context):
    context.run(control.submit_change(context.world))


@behave.when('the frozen leader resumes')
def step_resume_leader(context):
    context.world.send_signal(context.leader, signal.SIGCONT)


@behave.then('the frozen leader has stepped down')
def step_stepped_down(context):
    world = context.world

    async def has_stepped_down():
        reply = await control.status(world.control[context.leader])
        return reply is not None and reply.failure.code == 'HP-2003'

    context.run(
        world.wait_until(has_stepped_down, 'the leader has stepped down')
    )


@behave.when('two operators submit different bundles as version 2 at once')
def step_concurrent_submits(context):
    world = context.world
    context.paths = []
    for queue in (41, 42):
        world.limits['queue'] = queue
        path = world.sign(world.bundle(2), f'race-{queue}')
        context.paths.append(path)
    context.outcomes = context.run(submit_all(world, context.paths))
    world.version = 2


async def submit_all(world, paths):
    """Submit bundles concurrently; return receipts and errors."""
    return await asyncio.gather(
        *(world.submit(path, wait=False) for path in paths),
        return_exceptions=True,
    )


@behave.then('one of them gets a receipt and the other a conflict "{code}"')
def step_one_receipt(context, code):
    texts = [str(outcome) for outcome in context.outcomes]
    assert sum('accepted version 2' in text for text in texts) == 1, texts
    assert sum(code in text for text in texts) == 1, texts


@behave.when('both submit the same again')
def step_resend(context):
    context.repeated_outcomes = context.run(
        submit_all(context.world, context.paths)
    )


@behave.then('they get the same answers as before')
def step_same_answers(context):
    assert [str(outcome) for outcome in context.repeated_outcomes] == [
        str(outcome) for outcome in context.outcomes
    ]


@behave.when('"{router}" is killed, a change is made and it is restarted')
def step_restart_router(context, router):
    world = context.world
    context.run(world.kill(router))
    context.run(control.submit_change(world))
    world.start_router(router)


@behave.when('{count:d} changes are made')
def step_many_changes(context, count):
    context.run(submit_many(context.world, count))


async def submit_many(world, count):
    """Submit many small changes to the leader in sequence."""
    address = world.control[await control.leader(world)]
    channel = channels.connect(address)
    stub = rpc.OperatorStub(channel)
    for _ in range(count):
        world.limits['queue'] = 100 + world.version
        signed = sign_next_bundle(world)
        receipt = await stub.Submit(
            pb.SubmitRequest(signed=signed.to_json()), timeout=5
        )
        assert receipt.digest == signed.digest, receipt
        world.version += 1
    await channel.close()


def sign_next_bundle(world):
    """Sign the next bundle in this process and return it."""
    path = world.folder / 'many.yaml'
    path.write_text(yaml.safe_dump(world.bundle()))
    bundle = files.load(path)
    signed = signing.Signed(bundle.version, entries.to_entries(bundle), {})
    return signing.sign(signed, str(world.folder / 'keys' / 'ops.pem'))


@behave.when('all control replicas are killed and started again')
def step_restart_all(context):
    world = context.world
    for name in world.control:
        context.run(world.kill(name))
    for name in world.control:
        world.start(name, 'control')
    context.run(control.leader(world))


@behave.when('a change signed with an unknown key is submitted')
def step_unknown_key(context):
    world = context.world
    signing.write_new_key(str(world.folder / 'stranger'), 'ops')
    bundle = world.folder / 'bundle-next.yaml'
    world.sign(world.bundle(), 'bundle-next')
    signed_path = world.folder / 'strange.json'
    context.run(
        world.run_command(
            'bundle',
            'sign',
            str(bundle),
            str(world.folder / 'stranger' / 'ops.pem'),
            str(signed_path),
        )
    )
    context.outcomes = context.run(submit_all(world, [str(signed_path)]))


@behave.then('control refuses it with "{code}"')
def step_refused_by_control(context, code):
    assert code in str(context.outcomes[0]), context.outcomes
