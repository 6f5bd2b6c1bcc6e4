"""Steps about processes on the platform."""

import asyncio
import json
import shutil
import signal

import behave
from tornado import httpclient

from features.support import platform as platforms

_METRICS_PORT = 9464
_READ_TIMEOUT_S = 15.0
_EXIT_TIMEOUT_S = 12.0
_POLL_INTERVAL_S = 0.1


@behave.given('a platform of three instances with disks and one without')
def step_platform(context):
    context.platform = platforms.Platform(context.folder)
    context.platform.add_node_without_disk()
    context.run(context.platform.start())
    context.to_stop.append(context.platform.stop)


@behave.given(
    'a platform of five instances with disks, of which two may be lost'
)
def step_platform_of_five(context):
    context.platform = platforms.Platform(context.folder)
    context.platform.tolerated_losses = 2
    context.platform.nodes += [
        context.platform.make_node(number) for number in (4, 5)
    ]
    context.run(context.platform.start())
    context.to_stop.append(context.platform.stop)


@behave.given('its instance list contains invalid entries')
def step_invalid_entries(context):
    list_entries = context.platform.list_entries
    [valid] = list_entries
    list_entries += [
        None,
        'i-7',
        {**valid, 'id': 'i-2', 'slots': '8'},
        {**valid, 'id': 'i-3', 'state': 'not a state'},
        {**valid, 'id': 'i-4', 'address': 'nowhere'},
        {key: value for key, value in valid.items() if key != 'zone'},
    ]


@behave.when('all {count:d} replicas vote')
def step_all_vote(context, count):
    async def have_voters():
        replicas = [node for node in context.platform.nodes if node.data]
        voters = [await _read_voters(node) for node in replicas]
        return voters == [count] * len(voters)

    context.run(wait_until(have_voters, _READ_TIMEOUT_S))


@behave.when(
    'all processes are killed, and instances {first:d} and {second:d} lose '
    'their disks'
)
def step_lose_two(context, first, second):
    platform = context.platform
    for node in platform.nodes:
        platform.send_signal(node, signal.SIGKILL)
    for number in (first, second):
        node = platform.node(number)
        shutil.rmtree(node.data)
        node.data.mkdir()
    for node in platform.nodes:
        platform.launch(node)


@behave.when('an operator sends version {version:d} to any instance')
def step_send(context, version):
    changes = {'version': version}
    context.status = context.run(
        context.platform.replace_configuration(changes)
    )


@behave.when(
    'an operator sends version {version:d} with other content to any instance'
)
def step_send_other(context, version):
    changes = {'version': version, 'limits': {'idle_timeout_ms': 777}}
    context.status = context.run(
        context.platform.replace_configuration(changes)
    )


@behave.when(
    'an operator sends version {version:d} without its services to any '
    'instance'
)
def step_send_invalid(context, version):
    changes = {'version': version, 'services': []}
    context.status = context.run(
        context.platform.replace_configuration(changes)
    )


@behave.when('all processes are killed and started again')
def step_kill_all(context):
    platform = context.platform
    for node in platform.nodes:
        platform.send_signal(node, signal.SIGKILL)
    for node in platform.nodes:
        platform.launch(node)


@behave.when('instance {number:d} loses its disk and starts again')
def step_lose_disk(context, number):
    platform = context.platform
    node = platform.node(number)
    platform.send_signal(node, signal.SIGKILL)
    shutil.rmtree(node.data)
    node.data.mkdir()
    platform.launch(node)
    context.run(
        wait_until(lambda: _has_version(platform, node, 7), _READ_TIMEOUT_S)
    )
    # It joins as a learner and votes after the next membership change.
    context.run(asyncio.sleep(1.0))


@behave.when('instance {number:d} is killed')
def step_kill(context, number):
    platform = context.platform
    platform.send_signal(platform.node(number), signal.SIGKILL)


@behave.when('every instance gets SIGHUP')
def step_sighup(context):
    for node in context.platform.nodes:
        context.platform.send_signal(node, signal.SIGHUP)


@behave.when('instance {number:d} gets SIGTERM')
def step_sigterm(context, number):
    node = context.platform.node(number)
    context.platform.send_signal(node, signal.SIGTERM)


@behave.when(
    'the processes of instances 1 and 2 are stopped for {seconds:g} seconds'
)
def step_stop_processes(context, seconds):
    platform = context.platform
    last = platform.nodes[2]
    context.run(wait_until(lambda: _is_ready(platform, last), _READ_TIMEOUT_S))
    for node in platform.nodes[:2]:
        platform.send_signal(node, signal.SIGSTOP)
    context.run(asyncio.sleep(seconds))


@behave.when('the processes of instances 1 and 2 continue')
def step_continue_processes(context):
    for node in context.platform.nodes[:2]:
        context.platform.send_signal(node, signal.SIGCONT)


@behave.when('an empty instance 4 joins at another address')
def step_join(context):
    platform = context.platform
    node = platform.make_node(4)
    platform.nodes.append(node)
    platform.launch(node)


@behave.when('instance {number:d} is no longer a member')
def step_removed(context, number):
    platform = context.platform

    async def is_removed():
        logs = [node.log.read_text() for node in platform.nodes]
        return any('member_removed' in text for text in logs)

    context.run(wait_until(is_removed, _READ_TIMEOUT_S))


@behave.when('an operator sends version {version:d} to instance {number:d}')
def step_send_to(context, version, number):
    platform = context.platform
    platform.target_node = platform.node(number)
    context.status = context.run(
        platform.replace_configuration({'version': version})
    )


@behave.then(
    'instance {number:d} returns the configuration sent as version {version:d}'
)
def step_one_has_version(context, number, version):
    check_version(context, (number,), version)


@behave.then('it is acknowledged')
def step_acknowledged(context):
    assert context.status == 200, context.status


@behave.then('it is refused with {status:d}')
def step_refused_with(context, status):
    assert context.status == status, context.status


@behave.then('every instance is ready within {seconds:g} seconds')
def step_ready(context, seconds):
    check_ready(context, context.platform.nodes, seconds)


@behave.then('the address list has {count:d} addresses')
def step_addresses(context, count):
    platform = context.platform

    async def has_addresses():
        path = '/api/resolution?name=yard.example&region=hcm&zone=none'
        status, body = await platform.request(platform.nodes[0], 3, path)
        return status == 200 and len(json.loads(body)['addresses']) == count

    context.run(wait_until(has_addresses, _READ_TIMEOUT_S))


@behave.then("a caller's request to each of them is answered")
def step_answered(context):
    for number, node in enumerate(context.platform.nodes):
        status, body = context.run(
            context.platform.send_request(node, f'q-{number}')
        )
        assert (status, body) == (200, b'done for district'), (status, body)


@behave.then(
    'every instance returns the configuration sent as version {version:d}'
)
def step_all_have_version(context, version):
    numbers = [node.number for node in context.platform.nodes]
    check_version(context, numbers, version)


@behave.then('instances 1 and 3 return the configuration sent as version 7')
def step_two_have_version(context):
    check_version(context, (1, 3), 7)


@behave.then('instance {number:d} exits with code 0')
def step_exits(context, number):
    process = context.platform.node(number).process
    assert process.wait(_EXIT_TIMEOUT_S) == 0


@behave.then('a request to instance {number:d} is refused as not run')
def step_refused_not_run(context, number):
    platform = context.platform
    node = platform.node(number)
    status, body = context.run(platform.send_request(node, 'cut-off'))
    assert status == 503, (status, body)
    assert json.loads(body)['error']['ran'] is False
    assert 'cut-off' not in platform.executed_ids


def check_ready(context, nodes, seconds):
    """Check that each node becomes ready.

    :param seconds: timeout for each node
    """
    for node in nodes:
        context.run(
            wait_until(
                lambda node=node: _is_ready(context.platform, node), seconds
            )
        )


def check_version(context, numbers, version):
    """Check that nodes return the configuration of a version.

    :param numbers: the numbers of the nodes
    """
    for number in numbers:
        node = context.platform.node(number)
        context.run(
            wait_until(
                lambda node=node: _has_version(
                    context.platform, node, version
                ),
                _READ_TIMEOUT_S,
            )
        )


async def _has_version(platform, node, version):
    """Return whether a node has the configuration that was sent as a version.

    :raises AssertionError: if it has another one
    """
    status, body = await platform.request(node, 2, '/api/configuration/read')
    if status != 200:
        return False
    assert json.loads(body) == platform.configurations[version], body
    return True


async def _is_ready(platform, node):
    status, _ = await platform.request(node, 1, '/api/readiness')
    return status == 200


async def _read_voters(node):
    """Return a node's number of voters, or 0 if it does not respond."""
    return int(await read_gauge(node, 'control_voters'))


async def read_gauge(node, name):
    """Return the value of a node's gauge, or 0 if it does not respond."""
    client = httpclient.AsyncHTTPClient()
    try:
        response = await client.fetch(
            f'http://{node.ip}:{_METRICS_PORT}/metrics'
        )
    except (OSError, httpclient.HTTPError):
        return 0.0
    for line in response.body.decode().splitlines():
        if line.startswith(f'honeyport_{name} '):
            return float(line.split()[1])
    return 0.0


async def find_leader(platform):
    """Wait until a control replica leads, and return its node."""
    async with asyncio.timeout(_READ_TIMEOUT_S):
        while True:
            for node in platform.nodes:
                if await read_gauge(node, 'control_leads'):
                    return node
            await asyncio.sleep(_POLL_INTERVAL_S)


async def wait_until(check, seconds):
    """Wait until a check returns true.

    :raises TimeoutError: after the given seconds
    """
    async with asyncio.timeout(seconds):
        while not await check():
            await asyncio.sleep(_POLL_INTERVAL_S)
