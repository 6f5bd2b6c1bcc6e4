"""Control: how fast a change is in force, and what control costs."""

import asyncio
import collections.abc
import contextlib
import datetime
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
import typing

from bench import process
from bench import registry
from bench import subscribers
from features.steps import control_steps
from features.steps import fleet_steps
from features.support import calls
from features.support import world as worlds
from honeyport.bundle import entries
from honeyport.bundle import signing
from honeyport.router import session
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc

_ACCOUNTS = 8700
_BACKENDS = 4600
_TARGET_TIMING = {'report_ms': 1000, 'lease_ms': 4000, 'probe_ms': 1000}
_TODAY_TIMING = {'report_ms': 250, 'lease_ms': 2000, 'probe_ms': 1000}


@contextlib.asynccontextmanager
async def scratch() -> collections.abc.AsyncIterator[worlds.World]:
    """Yield a world in a folder of its own; stop it afterwards."""
    with tempfile.TemporaryDirectory(prefix='honeyport-bench-') as folder:
        world = worlds.World(pathlib.Path(folder))
        try:
            yield world
        finally:
            await world.stop()


@registry.register('roll')
async def measure_roll() -> registry.Figures:
    """Measure accepted -> in force on 12 routers, and failover."""
    async with scratch() as world:
        world.timing.update(_TODAY_TIMING)
        await fleet_steps.start_fleet(world, 3, 12, 4, 1)
        await control_steps.many(world, 100)
        await asyncio.sleep(1)
        figures = _delays(world)
        figures.update(await _failovers(world))
        figures['restart_after_changes_s'] = await _restart(world)
        return figures


def _delays(world: worlds.World) -> registry.Figures:
    """Return the delays between acceptance and the last application."""
    accepted = {}
    for name in world.control:
        for line in world.log(name):
            if line['number'] == 2101:
                accepted[line['version']] = _seconds(line)
    applied: dict[int, float] = {}
    for name in world.routers:
        for line in world.log(name):
            if line['number'] == 3001:
                version = line['version']
                applied[version] = max(
                    applied.get(version, 0.0), _seconds(line)
                )
    # A version that the next one overtook is in force with that one.
    delays = []
    latest = float('inf')
    for version in sorted(accepted, reverse=True):
        latest = min(latest, applied.get(version, float('inf')))
        if version > 1:
            delays.append((latest - accepted[version]) * 1000)
    delays.sort()
    return {
        'in_force_p50_ms': statistics.median(delays),
        'in_force_p99_ms': delays[int(len(delays) * 0.99)],
        'changes': len(delays),
    }


def _seconds(line: dict[str, typing.Any]) -> float:
    text = line['timestamp'].replace('Z', '+00:00')
    return datetime.datetime.fromisoformat(text).timestamp()


async def _failovers(world: worlds.World) -> registry.Figures:
    """Kill the leader a few times; time the next accepted change."""
    took = []
    for _ in range(5):
        name = await control_steps.leader(world)
        others = [n for n in world.control if n != name]
        await world.kill(name)
        started = time.monotonic()
        await _change(world, others)
        took.append(time.monotonic() - started)
        world.start(name, 'control')
        await world.wait_until(
            lambda name=name: control_steps.caught_up(world, name), 'it is up'
        )
    return {
        'failover_median_s': statistics.median(took),
        'failover_max_s': max(took),
    }


async def _change(world: worlds.World, names: list[str]) -> None:
    """Have the next change accepted by whoever leads."""
    world.limits['queue'] = 100 + world.version
    text = control_steps.sign_quickly(world).to_json()
    request = pb.SubmitRequest(signed=text)

    async def attempt() -> bool:
        for name in names:
            channel = channels.connect(world.control[name])
            try:
                stub = rpc.OperatorStub(channel)
                answer = await stub.Submit(request, timeout=0.5)
                if answer.digest:
                    return True
            except control_steps.grpc.aio.AioRpcError:
                pass
            finally:
                await channel.close()
        return False

    await world.wait_until(attempt, 'the change is accepted')
    world.version += 1


async def _restart(world: worlds.World) -> float:
    """Make up 1,000 changes, kill all replicas, time their return."""
    await control_steps.many(world, 1000 - world.version)
    for name in world.control:
        await world.kill(name)
    started = time.monotonic()
    for name in world.control:
        world.start(name, 'control')
    name = await control_steps.leader(world)
    took = time.monotonic() - started
    answer = await control_steps.status(world.control[name])
    assert answer is not None and answer.version == world.version
    return took


@registry.register('subscribers')
async def measure_subscribers() -> registry.Figures:
    """Measure control at the target's size, with stubs for routers."""
    figures: registry.Figures = {}
    async with scratch() as world:
        _grow(world)
        world.start_control(3, http_listen='127.0.0.2:0')
        await world.roll(wait=False)
        costs = {}
        for count in (40, 370):
            costs[count] = await _subscribe(world, count)
        span = 370 - 40
        for key in ('leader_ms_s', 'leader_mb'):
            slope = (costs[370][key] - costs[40][key]) / span
            figures[f'{key}_per_router'] = slope
        figures.update(
            {f'at_370_{key}': value for key, value in costs[370].items()}
        )
    return figures


def _grow(world: worlds.World) -> None:
    """Give a world the target's accounts and backend servers."""
    world.accounts = {f'account-{n}': {} for n in range(_ACCOUNTS)}
    world.backends = {
        f'engine-{n}': {
            'service': 'draft-llm',
            'address': f'10.1.{n // 250}.{n % 250}:8000',
            'domain': worlds.DOMAINS[n % 3],
        }
        for n in range(_BACKENDS)
    }
    world.timing.update(_TARGET_TIMING)


async def _subscribe(world: worlds.World, count: int) -> registry.Figures:
    """Attach stubs; measure at rest, then under changes."""
    stubs = subscribers.Subscribers(world, count)
    await stubs.start(world)
    for state in stubs.states:
        state._bundle = _timing_only(world)
    await asyncio.sleep(6)
    name = await control_steps.leader(world)
    pid = world.processes[name].pid
    rest_s = 10.0
    cpu, size = process.cpu_s(pid), stubs.bytes()
    await asyncio.sleep(rest_s)
    rest = (stubs.bytes() - size) / count / rest_s
    found = {
        'leader_ms_s': (process.cpu_s(pid) - cpu) * 1000 / rest_s,
        'leader_mb': process.resident_mb(pid),
        'rest_bytes_s_per_router': rest,
    }
    delays, extra = await _paced_changes(world, stubs, rest)
    found['in_force_max_s'] = max(delays)
    found['change_bytes_per_router'] = extra
    found['leader_after_mb'] = process.resident_mb(pid)
    await stubs.stop()
    return found


async def _paced_changes(
    world: worlds.World, stubs: subscribers.Subscribers, rest: float
) -> tuple[list[float], float]:
    """Make a change each 6 s; return delays, and bytes for one change."""
    delays = []
    size = stubs.bytes()
    started = time.monotonic()
    changes = 4
    for number in range(changes):
        world.accounts[f'account-{number}'] = {'share': 2.0 + world.version}
        signed = await asyncio.to_thread(control_steps.sign_quickly, world)
        accepted = await _submit(world, signed)
        await asyncio.sleep(6)
        version = signed.version
        last = max(s.applied.get(version, 1e12) for s in stubs.states)
        delays.append(last - accepted)
    took = time.monotonic() - started
    count = len(stubs.states)
    extra = (stubs.bytes() - size) / count - rest * took
    return delays, extra / changes


async def _submit(world: worlds.World, signed: signing.Signed) -> float:
    """Submit to the leader; return the time of the receipt."""
    name = await control_steps.leader(world)
    channel = channels.connect(world.control[name])
    stub = rpc.OperatorStub(channel)
    answer = await stub.Submit(
        pb.SubmitRequest(signed=signed.to_json()), timeout=20
    )
    accepted = time.time()
    await channel.close()
    assert answer.digest == signed.digest, answer
    world.version += 1
    return accepted


def _timing_only(world: worlds.World) -> typing.Any:
    """Return a bundle that has only the timing."""
    small = entries.from_entries(
        1,
        {
            key: text
            for key, text in entries.to_entries(_bundle(world)).items()
            if '/' not in key
        },
    )
    return small


def _bundle(world: worlds.World) -> typing.Any:
    from honeyport.bundle import files

    path = world.folder / 'timing.yaml'
    tree = {**world.bundle(), 'accounts': {}, 'backends': {}}
    path.write_text(control_steps.yaml.safe_dump(tree))
    return files.load(path)


@registry.register('claims')
async def measure_claims() -> registry.Figures:
    """Measure claims committed a second, on synced disks."""
    async with scratch() as world:
        world.start_control(3)
        await world.roll(wait=False)
        stubs = subscribers.Subscribers(world, 1)
        await stubs.start(world)
        leader = await control_steps.leader(world)
        follower = next(n for n in world.control if n != leader)
        pids = {
            'leader': world.processes[leader].pid,
            'follower': world.processes[follower].pid,
        }
        memory = process.resident_mb(pids['leader'])
        cpu = {kind: process.cpu_s(pid) for kind, pid in pids.items()}
        count, took, waits = await _claim_many(stubs.sessions[0])
        figures = {
            'per_second': count / took,
            'p50_ms': waits[len(waits) // 2] * 1000,
            'p99_ms': waits[int(len(waits) * 0.99)] * 1000,
        }
        for kind, pid in pids.items():
            spent = process.cpu_s(pid) - cpu[kind]
            figures[f'{kind}_ms_per_claim'] = spent * 1000 / count
        grown = process.resident_mb(pids['leader']) - memory
        figures['leader_kb_per_claim'] = grown * 1000 / count
        await stubs.stop()
        return figures


async def _claim_many(
    control: session.Session,
) -> tuple[int, float, list[float]]:
    """Claim and record many keys, 200 at once."""
    room = asyncio.Semaphore(200)
    waits: list[float] = []

    async def one(number: int) -> None:
        async with room:
            key = calls.new_key()
            for action in (pb.ClaimRequest.CLAIM, pb.ClaimRequest.RECORD):
                began = time.monotonic()
                await control.claim(
                    pb.ClaimRequest(
                        action=action,
                        key=key,
                        digest='d' * 32,
                        holder=f'stub-0/x/{number}',
                        outcome=b'x' * 300,
                        retention_s=3600,
                    )
                )
                waits.append(time.monotonic() - began)

    count = 6000
    started = time.monotonic()
    await asyncio.gather(*(one(number) for number in range(count)))
    return count, time.monotonic() - started, sorted(waits)


@registry.register('increment')
async def measure_increment() -> registry.Figures:
    """Measure what control costs a router: processor, memory, bytes."""
    bare = subprocess.Popen(
        [
            sys.executable,
            '-c',
            'import honeyport.router.daemon, time; time.sleep(600)',
        ]
    )
    try:
        figures: registry.Figures = {}
        for label, accounts, engines in (
            ('today', 10, 4),
            ('accounts', 8700, 4),
            ('engines', 10, 16),
        ):
            found = await _router_at_rest(accounts, engines)
            for key, value in found.items():
                figures[f'{label}_{key}'] = value
        figures['bare_mb'] = process.resident_mb(bare.pid)
        figures['control_mb'] = figures['today_mb'] - figures['bare_mb']
        figures['kb_per_account'] = (
            (figures['accounts_mb'] - figures['today_mb']) * 1000 / 8690
        )
        figures['ms_s_per_engine'] = (
            figures['engines_ms_s'] - figures['today_ms_s']
        ) / 12
        figures['kb_per_engine'] = (
            (figures['engines_mb'] - figures['today_mb']) * 1000 / 12
        )
        return figures
    finally:
        bare.kill()
        bare.wait()


async def _router_at_rest(accounts: int, engines: int) -> registry.Figures:
    """Return a router's processor time, memory and bytes at rest."""
    async with scratch() as world:
        world.timing.update(_TODAY_TIMING)
        world.accounts = {f'account-{n}': {} for n in range(accounts)}
        world.accounts['district-1'] = {}
        await fleet_steps.start_fleet(world, 1, 1, engines, 0)
        pid = world.processes['router-1'].pid
        await asyncio.sleep(3)
        cpu, size = process.cpu_s(pid), await _control_bytes(world)
        rest_s = 15.0
        await asyncio.sleep(rest_s)
        return {
            'ms_s': (process.cpu_s(pid) - cpu) * 1000 / rest_s,
            'mb': process.resident_mb(pid),
            'bytes_s': (await _control_bytes(world) - size) / rest_s,
        }


async def _control_bytes(world: worlds.World) -> float:
    reply = await calls.send(
        world.address('router-1'), calls.get_request('/metrics')
    )
    lines = reply.body.decode().splitlines()
    return sum(
        float(line.split()[-1])
        for line in lines
        if line.startswith('honeyport_control_bytes_total')
    )
