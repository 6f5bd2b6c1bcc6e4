"""Steps about orders to simulated instances whose replicas fail."""

import asyncio

import behave

from features.support import operators
from features.support import simulation

_GATEWAYS = 4
_REPLICAS = 5
_LOSSES = 2  # replicas that may be down at once
_ACK_TIMEOUT_S = 5.0
# An order that is sent this long before the next leader is elected.
_BEFORE_ELECTION_S = 0.5
_MAX_ELECTION_S = 10.0
_POLL_S = 0.02
# How long instances are cut off, and how soon they answer without a hold.
_CUT_OFF_S = 10.0
_AT_ONCE_S = 0.05
# A history: its length, the part with failures, and the steps of both.
_HISTORY_S = 20.0
_FAILURES_S = 8.0
_ORDERS_S = 14.0
_STEP_S = 0.4
_FAILURE_PROBABILITY = 0.35
_ORDER_PROBABILITY = 0.4
_FAULTS = ('kill', 'kill the leader', 'disconnect', 'cut', 'cut the leader')
_RESTART_S = (1.0, 3.0)
_CUT_S = (2.0, 5.0)
_DISCONNECTED_S = (2.0, 3.0, 30.0)


@behave.when(
    'orders are sent to {count:d} instances 0.5 s before a leader is elected'
)
def step_before_election(context, count):
    elected_after_s = simulation.run(_time_to_leader(seed=1))
    context.orders = simulation.run(
        _orders_during_election(1, count, elected_after_s - _BEFORE_ELECTION_S)
    )


async def _time_to_leader(seed):
    """Return how long after the kill of its leader a site has the next."""
    site = operators.Site(_GATEWAYS, seed)
    await site.start()
    started_at = asyncio.get_running_loop().time()
    await site.kill(site.leader)
    while not site.leader:
        await site.group.run_for(_POLL_S)
    elected_after_s = asyncio.get_running_loop().time() - started_at
    await site.stop()
    return elected_after_s


async def _orders_during_election(seed, count, delay_s):
    """Send orders some time after the kill of the leader; return them."""
    site = operators.Site(_GATEWAYS, seed)
    await site.start()
    killed = site.leader
    await site.kill(killed)
    await asyncio.sleep(delay_s)
    names = [name for name in site.names if name != killed][:count]
    orders = [
        site.send_configuration(version, name)
        for version, name in enumerate(names, 2)
    ]
    orders += [
        site.send_evacuation(path, name)
        for path in operators.EVACUATION_PATHS
        for name in names
    ]
    await site.group.run_for(_MAX_ELECTION_S)
    await site.stop()
    return orders


@behave.then('each of them is acknowledged by its first attempt')
def step_first_attempt(context):
    assert context.orders
    for order in context.orders:
        assert [status for _, _, status in order.attempts] == [200], order


@behave.when(
    'orders are sent to instances that are cut off from control for 10 s'
)
def step_cut_off(context):
    context.answers = simulation.run(_ask_cut_off(seed=1))


async def _ask_cut_off(seed):
    """Cut off an instance of each kind; return their answers."""
    site = operators.Site(_GATEWAYS, seed)
    await site.start()
    follower = next(name for name in site.group.names if name != site.leader)
    gateway = site.names[-1]
    site.cut(follower)
    site.cut_gateway(gateway)
    await site.group.run_for(_CUT_OFF_S)
    answers = [await site.ask(name) for name in (follower, gateway)]
    await site.stop()
    return answers


@behave.then('each of them is refused at once')
def step_refused_at_once(context):
    for status, took_s in context.answers:
        assert status == 503, status
        assert took_s < _AT_ONCE_S, took_s


@behave.when(
    '{count:d} orders are sent while {silent:d} of {total:d} instances are '
    'silent'
)
def step_silent(context, count, silent, total):
    context.orders = simulation.run(
        _orders_beside_silent(1, count, silent, total)
    )


async def _orders_beside_silent(seed, count, silent, total):
    """Send orders while instances without a replica are silent."""
    site = operators.Site(total - _REPLICAS, seed)
    await site.start()
    site.disconnect(*site.names[-silent:])
    orders = [
        site.send_configuration(version) for version in range(2, count + 2)
    ]
    await site.group.run_for(_HISTORY_S)
    await site.stop()
    return orders


@behave.then('each of them is acknowledged within {limit_s:g} seconds')
def step_acknowledged_within(context, limit_s):
    late = [
        [(name, status) for _, name, status in order.attempts]
        for order in context.orders
        if order.acknowledged_at - order.sent_at > limit_s
    ]
    assert not late, f'{len(late)} of {len(context.orders)}: {late}'


@behave.when('{count:d} random histories of orders and failures are run')
def step_histories(context, count):
    context.waits = []
    context.failed_attempts = []
    for seed in range(count):
        simulation.run(_history(context, seed))


async def _history(context, seed):
    """Run one history; collect waits and failed attempts while stable."""
    site = operators.Site(_GATEWAYS, seed)
    await site.start()
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    faults = []
    version = 1
    while (now := loop.time() - started_at) < _HISTORY_S:
        if (
            now < _FAILURES_S
            and site.random.random() < _FAILURE_PROBABILITY
            and len(site.lost_replicas) < _LOSSES
        ):
            kind = site.random.choice(_FAULTS)
            faults.append(asyncio.create_task(_fail(site, kind)))
        if now < _ORDERS_S and site.random.random() < _ORDER_PROBABILITY:
            version += 1
            site.send_configuration(version)
            site.send_evacuation(
                site.random.choice(operators.EVACUATION_PATHS)
            )
        await site.group.run_for(_STEP_S)
    for order in site.orders:
        context.waits.append((site.stable_wait_s(order), seed, order))
    context.failed_attempts += [
        (seed, at, name, status)
        for order in site.orders
        for at, name, status in order.attempts
        if status != 200
        and name not in site.unreachable
        and site.is_stable(at)
    ]
    for fault in faults:
        fault.cancel()
    await site.stop()


async def _fail(site, kind):
    """Let a replica fail for a while."""
    running = [
        name for name in site.group.names if name not in site.lost_replicas
    ]
    name = site.random.choice(running)
    if 'leader' in kind:
        name = site.leader or name
    if kind.startswith('kill'):
        await site.kill(name)
        await asyncio.sleep(site.random.uniform(*_RESTART_S))
        site.restart(name)
    elif kind == 'disconnect':
        site.disconnect(name)
        await asyncio.sleep(site.random.choice(_DISCONNECTED_S))
        site.reconnect(name)
    else:
        site.cut(name)
        await asyncio.sleep(site.random.uniform(*_CUT_S))
        site.heal(name)


@behave.then('no order waits longer than 5 seconds while the group is stable')
def step_in_time(context):
    late = [wait for wait in context.waits if wait[0] > _ACK_TIMEOUT_S]
    assert not late, late


@behave.then(
    'every attempt at a running instance succeeds while the group is stable'
)
def step_none_failed(context):
    assert len(context.waits) > 100, len(context.waits)
    assert not context.failed_attempts, context.failed_attempts
