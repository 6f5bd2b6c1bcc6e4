"""Propagation of changes, and costs of the control plane."""

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
_DEFAULT_TIMING = {'report_ms': 250, 'lease_ms': 2000, 'probe_ms': 1000}


@contextlib.asynccontextmanager
async def temporary_world() -> collections.abc.AsyncIterator[worlds.World]:
    """Yield a world in a temporary folder; stop it on exit."""
    with tempfile.TemporaryDirectory(prefix='honeyport-bench-') as folder:
        world = worlds.World(pathlib.Path(folder))
        try:
            yield world
        finally:
            await world.stop()


@registry.register('roll')
async def measure_roll() -> registry.Figures:
    """Measure propagation to 12 routers, failover and restart."""
    async with temporary_world() as world:
        world.timing.update(_DEFAULT_TIMING)
        await fleet_steps.start_fleet(world, 3, 12, 4, 1)
        await control_steps.submit_many(world, 100)
        await asyncio.sleep(1)
        figures = _propagation_delays(world)
        figures.update(await _failovers(world))
        figures['restart_after_changes_s'] = await _measure_restart(world)
        return figures


def _propagation_delays(world: worlds.World) -> registry.Figures:
    """Return quantiles of the time until all routers apply a change."""
    accepted = {}
    for name in world.control:
        for line in world.log_lines(name):
            if line['number'] == 2101:
                accepted[line['version']] = _parse_timestamp(line)
    applied: dict[int, float] = {}
    for name in world.routers:
        for line in world.log_lines(name):
            if line['number'] == 3001:
                version = line['version']
                applied[version] = max(
                    applied.get(version, 0.0), _parse_timestamp(line)
                )
    # A skipped version is in force once a later version is.
    delays_ms = []
    in_force_at = float('inf')
    for version in sorted(accepted, reverse=True):
        in_force_at = min(in_force_at, applied.get(version, float('inf')))
        if version > 1:
            delays_ms.append((in_force_at - accepted[version]) * 1000)
    delays_ms.sort()
    return {
        'in_force_p50_ms': statistics.median(delays_ms),
        'in_force_p99_ms': delays_ms[int(len(delays_ms) * 0.99)],
        'changes': len(delays_ms),
    }


def _parse_timestamp(line: dict[str, typing.Any]) -> float:
    text = line['timestamp'].replace('Z', '+00:00')
    return datetime.datetime.fromisoformat(text).timestamp()


async def _failovers(world: worlds.World) -> registry.Figures:
    """Measure the time from a leader's death to the next accepted change."""
    failovers_s = []
    for _ in range(5):
        name = await control_steps.leader(world)
        survivors = [replica for replica in world.control if replica != name]
        await world.kill(name)
        started = time.monotonic()
        await _submit_next(world, survivors)
        failovers_s.append(time.monotonic() - started)
        world.start(name, 'control')
        await world.wait_until(
            lambda name=name: control_steps.caught_up(world, name), 'it is up'
        )
    return {
        'failover_median_s': statistics.median(failovers_s),
        'failover_max_s': max(failovers_s),
    }


async def _submit_next(world: worlds.World, names: list[str]) -> None:
    """Submit the next change to each replica until the leader accepts it."""
    world.limits['queue'] = 100 + world.version
    text = control_steps.sign_next_bundle(world).to_json()
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


async def _measure_restart(world: worlds.World) -> float:
    """Measure the restart of all replicas after 1,000 changes, in s."""
    await control_steps.submit_many(world, 1000 - world.version)
    for name in world.control:
        await world.kill(name)
    started = time.monotonic()
    for name in world.control:
        world.start(name, 'control')
    name = await control_steps.leader(world)
    restart_s = time.monotonic() - started
    answer = await control_steps.status(world.control[name])
    assert answer is not None and answer.version == world.version
    return restart_s


@registry.register('subscribers')
async def measure_subscribers() -> registry.Figures:
    """Measure control at the target size, with stubs for routers."""
    figures: registry.Figures = {}
    async with temporary_world() as world:
        _set_target_size(world)
        world.start_control(3, http_listen='127.0.0.2:0')
        await world.roll_out(wait=False)
        costs = {}
        for count in (40, 370):
            costs[count] = await _measure_subscribers(world, count)
        added = 370 - 40
        for key in ('leader_ms_s', 'leader_mb'):
            slope = (costs[370][key] - costs[40][key]) / added
            figures[f'{key}_per_router'] = slope
        figures.update(
            {f'at_370_{key}': value for key, value in costs[370].items()}
        )
    return figures


def _set_target_size(world: worlds.World) -> None:
    """Configure the target's accounts, backend servers and timing."""
    world.accounts = {f'account-{number}': {} for number in range(_ACCOUNTS)}
    world.backends = {
        f'engine-{number}': {
            'service': 'draft-llm',
            'address': f'10.1.{number // 250}.{number % 250}:8000',
            'domain': worlds.DOMAINS[number % 3],
        }
        for number in range(_BACKENDS)
    }
    world.timing.update(_TARGET_TIMING)


async def _measure_subscribers(
    world: worlds.World, count: int
) -> registry.Figures:
    """Attach stubs; measure the leader idle, then during changes."""
    stubs = subscribers.Subscribers(world, count)
    await stubs.start(world)
    for state in stubs.states:
        state._bundle = _timing_bundle(world)
    await asyncio.sleep(6)
    name = await control_steps.leader(world)
    pid = world.processes[name].pid
    idle_s = 10.0
    cpu_before_s, bytes_before = process.cpu_s(pid), stubs.bytes()
    await asyncio.sleep(idle_s)
    idle_bytes_s = (stubs.bytes() - bytes_before) / count / idle_s
    figures = {
        'leader_ms_s': (process.cpu_s(pid) - cpu_before_s) * 1000 / idle_s,
        'leader_mb': process.resident_mb(pid),
        'rest_bytes_s_per_router': idle_bytes_s,
    }
    delays_s, change_bytes = await _paced_changes(world, stubs, idle_bytes_s)
    figures['in_force_max_s'] = max(delays_s)
    figures['change_bytes_per_router'] = change_bytes
    figures['leader_after_mb'] = process.resident_mb(pid)
    await stubs.stop()
    return figures


async def _paced_changes(
    world: worlds.World, stubs: subscribers.Subscribers, idle_bytes_s: float
) -> tuple[list[float], float]:
    """Submit a change every 6 s.

    :param idle_bytes_s: traffic of a router without changes
    :return: delays until in force in s; bytes per change and router
    """
    delays_s = []
    bytes_before = stubs.bytes()
    started = time.monotonic()
    changes = 4
    for number in range(changes):
        world.accounts[f'account-{number}'] = {'share': 2.0 + world.version}
        signed = await asyncio.to_thread(control_steps.sign_next_bundle, world)
        accepted = await _submit(world, signed)
        await asyncio.sleep(6)
        version = signed.version
        in_force_at = max(
            state.applied.get(version, 1e12) for state in stubs.states
        )
        delays_s.append(in_force_at - accepted)
    elapsed_s = time.monotonic() - started
    count = len(stubs.states)
    extra_bytes = (
        stubs.bytes() - bytes_before
    ) / count - idle_bytes_s * elapsed_s
    return delays_s, extra_bytes / changes


async def _submit(world: worlds.World, signed: signing.Signed) -> float:
    """Submit a bundle to the leader; return the time of acceptance."""
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


def _timing_bundle(world: worlds.World) -> typing.Any:
    """Return the bundle without accounts and backend servers."""
    bundle = entries.from_entries(
        1,
        {
            key: text
            for key, text in entries.to_entries(_bundle(world)).items()
            if '/' not in key
        },
    )
    return bundle


def _bundle(world: worlds.World) -> typing.Any:
    from honeyport.bundle import files

    path = world.folder / 'timing.yaml'
    tree = {**world.bundle(), 'accounts': {}, 'backends': {}}
    path.write_text(control_steps.yaml.safe_dump(tree))
    return files.load(path)


@registry.register('claims')
async def measure_claims() -> registry.Figures:
    """Measure claims per second with synchronous disk writes."""
    async with temporary_world() as world:
        world.start_control(3)
        await world.roll_out(wait=False)
        stubs = subscribers.Subscribers(world, 1)
        await stubs.start(world)
        leader = await control_steps.leader(world)
        follower = next(
            replica for replica in world.control if replica != leader
        )
        pids = {
            'leader': world.processes[leader].pid,
            'follower': world.processes[follower].pid,
        }
        memory_before_mb = process.resident_mb(pids['leader'])
        cpu_before_s = {role: process.cpu_s(pid) for role, pid in pids.items()}
        count, elapsed_s, latencies_s = await _claim_many(stubs.sessions[0])
        figures = {
            'per_second': count / elapsed_s,
            'p50_ms': latencies_s[len(latencies_s) // 2] * 1000,
            'p99_ms': latencies_s[int(len(latencies_s) * 0.99)] * 1000,
        }
        for role, pid in pids.items():
            cpu_spent_s = process.cpu_s(pid) - cpu_before_s[role]
            figures[f'{role}_ms_per_claim'] = cpu_spent_s * 1000 / count
        growth_mb = process.resident_mb(pids['leader']) - memory_before_mb
        figures['leader_kb_per_claim'] = growth_mb * 1000 / count
        await stubs.stop()
        return figures


async def _claim_many(
    control: session.Session,
) -> tuple[int, float, list[float]]:
    """Claim and record 6,000 keys, 200 at a time.

    :return: number of keys, elapsed time in s, sorted latencies in s
    """
    slots = asyncio.Semaphore(200)
    latencies_s: list[float] = []

    async def claim_and_record(number: int) -> None:
        async with slots:
            key = calls.new_key()
            for action in (pb.ClaimRequest.CLAIM, pb.ClaimRequest.RECORD):
                request_start = time.monotonic()
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
                latencies_s.append(time.monotonic() - request_start)

    count = 6000
    started = time.monotonic()
    await asyncio.gather(
        *(claim_and_record(number) for number in range(count))
    )
    return count, time.monotonic() - started, sorted(latencies_s)


@registry.register('increment')
async def measure_increment() -> registry.Figures:
    """Measure the costs of control on a router: processor, memory, bytes."""
    baseline = subprocess.Popen(
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
            measured = await _measure_idle_router(accounts, engines)
            for key, value in measured.items():
                figures[f'{label}_{key}'] = value
        figures['bare_mb'] = process.resident_mb(baseline.pid)
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
        baseline.kill()
        baseline.wait()


async def _measure_idle_router(
    accounts: int, engines: int
) -> registry.Figures:
    """Return processor time, memory and traffic of an idle router."""
    async with temporary_world() as world:
        world.timing.update(_DEFAULT_TIMING)
        world.accounts = {
            f'account-{number}': {} for number in range(accounts)
        }
        world.accounts['district-1'] = {}
        await fleet_steps.start_fleet(world, 1, 1, engines, 0)
        pid = world.processes['router-1'].pid
        await asyncio.sleep(3)
        cpu_before_s, bytes_before = (
            process.cpu_s(pid),
            await _control_bytes(world),
        )
        idle_s = 15.0
        await asyncio.sleep(idle_s)
        return {
            'ms_s': (process.cpu_s(pid) - cpu_before_s) * 1000 / idle_s,
            'mb': process.resident_mb(pid),
            'bytes_s': (await _control_bytes(world) - bytes_before) / idle_s,
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
