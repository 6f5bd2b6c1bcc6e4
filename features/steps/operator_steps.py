"""Steps about operator requests to any instance."""

import asyncio
import json
import signal
import urllib.parse
import zlib

import behave

from features.steps import platform_steps
from features.support import platform as platforms

_TIMEOUT_S = 5.0
_POLL_INTERVAL_S = 0.1
_ELECTION_S = 3.0
_DETECTION_S = 0.8  # until followers notice that the leader has ended
_REDIRECT = 307
_UNAVAILABLE = 503
_OK = 200
_PART = b'{"version": 7'  # the beginning of a body
_COMMIT_EVENTS = ('replacement_proposed', 'bundle_accepted')
_LAST_EVENTS = ('operator_redirected', 'operator_answered')
_OPERATOR_PORT = 2  # index among the ports of a node
_CONFIGURATION = '/api/configuration'
_EVACUATION = '/api/evacuations/thu-duc'
# All operator requests; each can be repeated without effect.
_REQUESTS = (
    (f'{_CONFIGURATION}/replace', platforms.CONFIGURATION),
    (f'{_CONFIGURATION}/read', None),
    (f'{_EVACUATION}/begin', b''),
    (f'{_EVACUATION}/finish', b''),
)


@behave.when('the leader is frozen')
def step_freeze(context):
    platform = context.platform
    leader = context.run(platform_steps.find_leader(platform))
    platform.send_signal(leader, signal.SIGSTOP)
    context.remaining = [node for node in platform.nodes if node is not leader]


@behave.then(
    'each instance serves operator requests or redirects them to one that does'
)
def step_each(context):
    _check_all(context, context.platform.nodes)


@behave.then(
    'each remaining instance serves operator requests or redirects them to '
    'one that does'
)
def step_each_left(context):
    _check_all(context, context.remaining)


@behave.then(
    'each remaining instance redirects operators to a running instance or '
    'answers with Retry-After'
)
def step_election(context):
    context.run(_watch_election(context.platform, context.remaining))


@behave.then('instances {first:d} and {second:d} soon answer with Retry-After')
def step_retry_after(context, first, second):
    platform = context.platform

    async def is_unavailable(node):
        # At once, since each is held until its wait for a leader ends.
        responses = await asyncio.gather(
            *(_send(platform, node, *request) for request in _REQUESTS)
        )
        return all(map(_has_retry_after, responses))

    for number in (first, second):
        node = platform.node(number)
        context.run(
            platform_steps.wait_until(
                lambda node=node: is_unavailable(node), _TIMEOUT_S
            )
        )


@behave.when(
    'an operator closes the connection to the leader in the middle of an order'
)
def step_close(context):
    platform = context.platform
    context.leader = context.run(platform_steps.find_leader(platform))
    context.run(_send_part(platform, context.leader))


async def _send_part(platform, node):
    _, writer = await _connect(platform, node)
    _write_part(writer, node)
    await writer.drain()
    writer.close()


async def _connect(platform, node):
    return await asyncio.open_connection(
        node.ip, platform.ports[_OPERATOR_PORT]
    )


def _write_part(writer, node):
    """Write the headers and the first half of an order."""
    _write_headers(writer, node, f'Content-Length: {2 * len(_PART)}')
    writer.write(_PART)


def _write_headers(writer, node, header):
    writer.write(
        f'POST {_REQUESTS[0][0]} HTTP/1.1\r\nHost: {node.ip}\r\n'
        f'{header}\r\n\r\n'.encode()
    )


async def _read_headers(reader):
    """Return the status and the headers of the next response."""
    async with asyncio.timeout(_TIMEOUT_S):
        text = (await reader.readuntil(b'\r\n\r\n')).decode()
    status_line, _, lines = text.partition('\r\n')
    headers = dict(line.split(': ', 1) for line in lines.splitlines() if line)
    return int(status_line.split()[1]), headers


@behave.when(
    'an operator sends the beginning of an order to instance {number:d}'
)
def step_part(context, number):
    context.node = context.platform.node(number)
    context.streams = context.run(_connect(context.platform, context.node))
    _write_part(context.streams[1], context.node)


@behave.then('it is redirected to the leader')
def step_redirected(context):
    status, headers = context.run(_read_headers(context.streams[0]))
    assert status == _REDIRECT, status
    leader = context.run(platform_steps.find_leader(context.platform))
    location = urllib.parse.urlsplit(headers['Location'])
    assert location.hostname == leader.ip, (headers, leader.ip)
    assert location.path == _REQUESTS[0][0], headers


@behave.then(
    'the connection serves another request once the order is sent completely'
)
def step_connection_serves(context):
    reader, writer = context.streams
    writer.write(_PART)
    _write_headers(writer, context.node, 'Content-Length: 0')
    status, _ = context.run(_read_headers(reader))
    assert status == _REDIRECT, status
    writer.close()


@behave.then(
    'instance {number:d} answers an order with these headers with 400 alone'
)
def step_bad_request(context, number):
    node = context.platform.node(number)
    for row in context.table:
        answer = context.run(
            _read_to_end(context.platform, node, row['header'])
        )
        assert answer == b'HTTP/1.1 400 Bad Request\r\n\r\n', (row, answer)


async def _read_to_end(platform, node, header):
    reader, writer = await _connect(platform, node)
    _write_headers(writer, node, header)
    async with asyncio.timeout(_TIMEOUT_S):
        answer = await reader.read()
    writer.close()
    return answer


@behave.then(
    'the leader logs operator_incomplete with the bytes that it received'
)
def step_incomplete(context):
    _wait_for_line(
        context,
        context.leader,
        event='operator_incomplete',
        path=_REQUESTS[0][0],
        bytes=len(_PART),
        expected=str(2 * len(_PART)),
    )


@behave.then(
    'instance {number:d} logs the redirect once the connection is closed'
)
def step_redirect_logged(context, number):
    context.streams[1].close()
    _wait_for_line(
        context,
        context.platform.node(number),
        event='operator_redirected',
        path=_REQUESTS[0][0],
        order='',
        before_body=True,
    )


def _wait_for_line(context, node, **fields):
    """Wait until a node has logged a line with these fields."""

    async def is_logged():
        lines = map(json.loads, node.log.read_text().splitlines())
        return any(fields.items() <= line.items() for line in lines)

    context.run(platform_steps.wait_until(is_logged, _TIMEOUT_S))


@behave.then(
    'the order of version {version:d} is logged by instance {number:d} as '
    '{names}'
)
def step_logged(context, version, number, names):
    platform = context.platform
    context.version = version
    lines = context.run(_order_lines(platform, platform.node(number), version))
    assert _names(lines) == names, lines
    redirect = lines[-1]
    host = urllib.parse.urlsplit(redirect['location']).hostname
    context.leader = next(node for node in platform.nodes if node.ip == host)
    context.order = redirect['order']


@behave.then('it is logged by the leader as {names}')
def step_logged_by_leader(context, names):
    lines = context.run(
        _order_lines(context.platform, context.leader, context.version)
    )
    assert _names(lines) == names, lines
    assert lines[0]['order'] == lines[-1]['order'] == context.order, lines


async def _order_lines(platform, node, version):
    """Return the lines about an order once its answer is logged."""
    body = json.dumps(platform.configurations[version]).encode()
    checksum = f'{zlib.crc32(body):08x}'
    lines = []

    async def is_complete():
        texts = node.log.read_text().splitlines()
        lines[:] = [
            line
            for line in map(json.loads, texts)
            if line.get('order') == checksum
            or line.get('version') == version
            and line['event'] in _COMMIT_EVENTS
        ]
        return bool(lines) and lines[-1]['event'] in _LAST_EVENTS

    await platform_steps.wait_until(is_complete, _TIMEOUT_S)
    return lines


def _names(lines):
    return ', '.join(line['event'] for line in lines)


async def _send(platform, node, path, body):
    url = f'http://{node.ip}:{platform.ports[_OPERATOR_PORT]}{path}'
    return await platform.fetch(url, body)


def _has_retry_after(response):
    """Return whether a response is 503 with a valid ``Retry-After``."""
    if response is None or response.code != _UNAVAILABLE:
        return False
    error = json.loads(response.body)['error']
    assert error['retry_after_s'] > 0, error
    return float(response.headers['Retry-After']) > 0


def _check_all(context, nodes):
    for node in nodes:
        for path, body in _REQUESTS:
            context.run(_check_request(context.platform, node, path, body))


async def _check_request(platform, node, path, body):
    """Check that a request succeeds, after at most one redirect."""
    response = await _send(platform, node, path, body)
    assert response is not None, (node.name, path)
    if response.code == _REDIRECT:
        location = response.headers['Location']
        response = await platform.fetch(location, body)
        assert response is not None, (node.name, path, location)
    assert response.code == _OK, (
        node.name,
        path,
        response.code,
        response.body,
    )


async def _watch_election(platform, nodes):
    """Check the responses of all nodes until the election is over."""
    running_ips = {node.ip for node in nodes}
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    deadline = started_at + _ELECTION_S
    while loop.time() < deadline:
        detected = loop.time() - started_at > _DETECTION_S
        for node in nodes:
            response = await _send(platform, node, *_REQUESTS[1])
            assert response is not None, node.name
            if response.code == _REDIRECT:
                location = response.headers['Location']
                host = urllib.parse.urlsplit(location).hostname
                assert host in running_ips or not detected, (
                    node.name,
                    location,
                )
            elif response.code != _OK:
                assert _has_retry_after(response), (node.name, response.code)
        await asyncio.sleep(_POLL_INTERVAL_S)
