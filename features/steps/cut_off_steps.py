"""Steps about gateways that cannot reach the instances of a service."""

import asyncio
import itertools
import json
import signal
import statistics
import time

import attrs
import behave
from tornado import simple_httpclient

from features.steps import platform_steps
from features.support import links
from features.support import platform as platforms

_MAX_CLIENTS = 500
_REQUEST_TIMEOUT_S = 4.0
_WAIT_S = 5.0
_REFUSAL_MAX_MS = 10.0


@attrs.define
class Reply:
    """The reply to a caller's request.

    :ivar sent_at: on the monotonic clock, in seconds
    """

    gateway: int
    sent_at: float
    took_s: float
    is_served: bool
    is_refused: bool


class Callers:
    """Send requests to all gateways at a fixed rate."""

    def __init__(self, platform, rate):
        self._platform = platform
        self._rate = rate
        self._numbers = itertools.count(1)
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=_MAX_CLIENTS
        )
        self._tasks = set()
        self.replies = []

    async def run(self):
        """Send requests until cancelled."""
        while True:
            for node in self._platform.nodes:
                task = asyncio.create_task(self._send(node))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / self._rate)

    async def finish(self):
        """Wait for the replies that are pending."""
        await asyncio.gather(*self._tasks)

    async def _send(self, node):
        number = next(self._numbers)
        sent_at = time.monotonic()
        response = await self._client.fetch(
            f'http://{node.ip}:{self._platform.ports[0]}/app/{number}',
            headers={
                'Host': 'yard.example',
                'Authorization': f'Bearer {platforms.KEY}',
                'Attempt-Id': f'load-{number}',
                'Deadline-Ms': '2000',
            },
            request_timeout=_REQUEST_TIMEOUT_S,
            raise_error=False,
        )
        is_served = response.code == 200 and response.body == links.ANSWER
        took_s = time.monotonic() - sent_at
        is_refused = response.code == 503 and _reports_not_run(response)
        self.replies.append(
            Reply(node.number, sent_at, took_s, is_served, is_refused)
        )


@behave.given(
    'a platform whose gateways have links of their own to {count:d} instances'
)
def step_platform(context, count):
    context.platform = platforms.Platform(context.folder)
    context.platform.add_node_without_disk()
    context.platform.redirected = True
    context.run(context.platform.start())
    context.to_stop.append(context.platform.stop)
    context.links = links.LinkedInstances(context.platform, count)
    context.run(context.links.start())
    context.to_stop.append(context.links.stop)
    context.cut_at = {}


@behave.when('callers send {rate:d} requests a second to every gateway')
def step_callers(context, rate):
    context.callers = Callers(context.platform, rate)
    context.run(_start_callers(context))


@behave.when('the links of gateway {number:d} are {state}')
def step_links(context, number, state):
    node = context.platform.node(number)
    context.run(context.links.set_links(node, state))
    context.cut_at[number] = time.monotonic()


@behave.when('callers go on for {seconds:g} seconds')
def step_go_on(context, seconds):
    context.run(asyncio.sleep(seconds))


@behave.then(
    'from {seconds:g} seconds on gateways {first:d} and {second:d} serve '
    '{share:g} as often as the others'
)
def step_served(context, seconds, first, second, share):
    context.run(_stop_callers(context))
    since = max(context.cut_at.values()) + seconds
    others = _served_share(
        context,
        [
            node.number
            for node in context.platform.nodes
            if node.number not in (first, second)
        ],
        since,
    )
    for number in (first, second):
        served = _served_share(context, [number], since)
        assert served >= share * others, (number, served, others)


@behave.when('the links of all gateways are {state}')
def step_all_links(context, state):
    for node in context.platform.nodes:
        context.run(context.links.set_links(node, state))
    context.changed_at = time.monotonic()


@behave.when(
    'an operator sends version {version:d} with a route for {kind} requests'
)
def step_version_for(context, version, kind):
    route = {'route_kind': kind.replace('-', '_')}
    _send_version(context, version, route)


@behave.when(
    'an operator sends version {version:d} with a route for resumable streams'
)
def step_version_for_streams(context, version):
    route = {'route_kind': 'streaming', 'resumable': True}
    _send_version(context, version, route)


@behave.when(
    'a stream through gateway {number:d} loses the gateway that forwards it'
)
def step_lose_stream(context, number):
    context.run(_lose_forwarding_gateway(context, number, '/app/stream/x'))


@behave.when(
    'a slow request through gateway {number:d} loses the gateway that '
    'forwards it'
)
def step_lose_request(context, number):
    context.run(_lose_forwarding_gateway(context, number, '/app/x/slow'))


@behave.then('no instance was excluded for all gateways')
def step_none_excluded(context):
    excluded = [
        line
        for node in context.platform.nodes
        for line in _read_log(node)
        if line['event'] == 'instances_excluded'
    ]
    assert not excluded, excluded


@behave.then('the caller has all events of the stream once, in order')
def step_all_events(context):
    status, body = context.response
    event_ids = [
        line for line in body.decode().splitlines() if line.startswith('id:')
    ]
    expected = [f'id: {number}' for number in range(1, links.EVENTS + 1)]
    assert (status, event_ids) == (200, expected), context.response
    assert len(context.links.find_arrivals('victim')) == 2


@behave.then('the caller learns that it may have run, and it arrived once')
def step_may_have_run(context):
    status, body = context.response
    assert status == 502, context.response
    assert json.loads(body)['error']['ran'] is None, body
    assert len(context.links.find_arrivals('victim')) == 1


@behave.then(
    'from {seconds:g} seconds on all requests are refused as not run, the '
    'median within 10 ms'
)
def step_all_refused(context, seconds):
    replies = _replies_since(context, context.changed_at + seconds)
    assert all(reply.is_refused for reply in replies), replies
    took_ms = [
        line['took_ms']
        for node in context.platform.nodes
        for line in _read_log(node)
        if line['event'] == 'request_refused' and line['code'] == 'HP-3211'
    ]
    assert statistics.median(took_ms) <= _REFUSAL_MAX_MS, took_ms


@behave.then('from {seconds:g} seconds on all requests are served')
def step_all_served(context, seconds):
    context.run(_stop_callers(context))
    replies = _replies_since(context, context.changed_at + seconds)
    not_served = [reply for reply in replies if not reply.is_served]
    assert not not_served, not_served


async def _start_callers(context):
    context.callers_task = asyncio.create_task(context.callers.run())
    await asyncio.sleep(1.0)


async def _stop_callers(context):
    context.callers_task.cancel()
    await context.callers.finish()


def _send_version(context, version, route):
    [default] = platforms.CONFIGURATION['routes']
    changes = {'version': version, 'routes': [{**default, **route}]}
    context.run(context.platform.replace_configuration(changes))


async def _lose_forwarding_gateway(context, number, path):
    """Kill the gateway that forwards a request, once it has arrived."""
    platform = context.platform
    node = platform.node(number)
    await _wait_for_detour(platform, node)
    call = asyncio.create_task(platform.send_request(node, 'victim', path))
    async with asyncio.timeout(_WAIT_S):
        while not context.links.find_arrivals('victim'):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
    # Only one: a request that goes on elsewhere must not be found again.
    forwarding = [
        other
        for other in platform.nodes
        if other is not node
        and await platform_steps.read_gauge(other, 'requests_running')
    ]
    platform.send_signal(forwarding[0], signal.SIGKILL)
    context.response = await call


async def _wait_for_detour(platform, node):
    """Send requests until another gateway has forwarded one."""
    async with asyncio.timeout(_WAIT_S):
        is_served = False
        while not is_served:
            is_cut_off = await platform_steps.read_gauge(
                node, 'services_cut_off'
            )
            status, _ = await platform.send_request(
                node, 'early', '/app/early'
            )
            is_served = bool(is_cut_off) and status == 200


def _reports_not_run(response):
    return json.loads(response.body)['error']['ran'] is False


def _read_log(node):
    """Return the lines of a gateway's log."""
    text = node.log.read_text(encoding='utf-8')
    return [
        json.loads(line) for line in text.splitlines() if line.startswith('{')
    ]


def _replies_since(context, since):
    replies = [
        reply for reply in context.callers.replies if reply.sent_at >= since
    ]
    assert replies
    return replies


def _served_share(context, numbers, since):
    """Return the share of requests that gateways served."""
    replies = [
        reply
        for reply in _replies_since(context, since)
        if reply.gateway in numbers
    ]
    return sum(reply.is_served for reply in replies) / len(replies)
