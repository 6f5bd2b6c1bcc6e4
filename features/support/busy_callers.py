"""Callers that keep a connection to a gateway in use until it is gone."""

import asyncio
import collections
import itertools
import json
import re

import attrs

from features.support import caller
from features.support import pausing_instances
from features.support import platform as platforms

DEADLINE_S = 12.0
# Beyond the deadline, until a caller gives an answer up.
_ANSWER_GRACE_S = 3.0
_RECONNECT_S = 0.05
_PAUSE_S = 0.02  # between two requests of a caller
_EVENT_ID = re.compile(rb'id: (\d+)\n')


@attrs.frozen
class Result:
    """How a request ended.

    :ivar outcome: ``whole``, ``cut`` after a 200, ``failed`` with another
        status, ``refused`` as not run, or ``closed`` without an answer
    """

    request_id: str
    gateway: str
    outcome: str
    took_s: float
    detail: str


class Callers:
    """Callers at all gateways, each with one request at a time.

    :param path: the prefix of the paths of their requests
    :ivar results: how their requests ended
    """

    def __init__(self, platform: platforms.Platform, path: str) -> None:
        self._platform = platform
        self._path = path
        self._numbers = itertools.count(1)
        self._tasks: list[asyncio.Task[None]] = []
        self._is_last = False
        self.results: list[Result] = []

    def start(self, count: int, *, is_once: bool = False) -> None:
        """Start callers at each gateway.

        :param count: number of callers at each gateway
        :param is_once: whether each has only one request served
        """
        self._is_last = is_once
        self._tasks = [
            asyncio.create_task(self._run(number))
            for number in range(len(self._platform.nodes))
            for _ in range(count)
        ]

    async def finish(self) -> None:
        """Let all callers end their requests, and send no others."""
        self._is_last = True
        await asyncio.gather(*self._tasks)

    def count(self) -> collections.Counter[str]:
        """Return the number of requests by outcome."""
        return collections.Counter(result.outcome for result in self.results)

    def longest_s(self) -> float:
        """Return the time of the longest answer that was whole."""
        return max(
            (
                result.took_s
                for result in self.results
                if result.outcome == 'whole'
            ),
            default=0.0,
        )

    async def _run(self, number: int) -> None:
        """Use one gateway until it refuses or is gone, then the next one."""
        nodes = self._platform.nodes
        while True:
            node = nodes[number % len(nodes)]
            try:
                reader, writer = await asyncio.open_connection(
                    node.ip, self._platform.ports[0]
                )
            except OSError:
                await asyncio.sleep(_RECONNECT_S)
                number += 1
                continue
            try:
                if await self._use(node, reader, writer):
                    return
            finally:
                writer.transport.abort()
            number += 1

    async def _use(
        self,
        node: platforms.Node,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send requests on a connection.

        :returns: whether the last one has ended
        """
        while True:
            result, is_open = await self._send(node, reader, writer)
            self.results.append(result)
            is_ended = result.outcome not in ('refused', 'closed')
            if is_ended and self._is_last:
                return True
            if not is_open or not is_ended:
                return False
            await asyncio.sleep(_PAUSE_S)

    async def _send(
        self,
        node: platforms.Node,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> tuple[Result, bool]:
        """Send a request.

        :returns: how it ended, and whether the connection stays open
        """
        loop = asyncio.get_running_loop()
        number = next(self._numbers)
        request_id, sent_at = f'q-{number}', loop.time()
        writer.write(self._request(request_id))
        response = None
        try:
            async with asyncio.timeout(DEADLINE_S + _ANSWER_GRACE_S):
                response = await caller.read(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        outcome, detail = self._judge(response)
        took_s = loop.time() - sent_at
        is_open = (
            response is not None
            and response.is_complete
            and response.headers.get('Connection', '').lower() != 'close'
        )
        return Result(request_id, node.name, outcome, took_s, detail), is_open

    def _request(self, request_id: str) -> bytes:
        return (
            f'GET {self._path}{request_id} HTTP/1.1\r\n'
            'Host: yard.example\r\n'
            f'Authorization: Bearer {platforms.KEY}\r\n'
            f'Attempt-Id: {request_id}\r\n'
            f'Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n\r\n'
        ).encode()

    def _judge(self, response: caller.Response | None) -> tuple[str, str]:
        if response is None:
            return 'closed', ''
        if response.status != 200:
            error = json.loads(response.body)['error']
            is_not_run = error['ran'] is False
            outcome = 'refused' if is_not_run else 'failed'
            return outcome, f'{response.status} {error}'
        if self._path != pausing_instances.STREAM_PREFIX:
            is_whole = response.body == pausing_instances.ANSWER
            return 'whole' if is_whole else 'cut', repr(response.body)
        numbers = [int(number) for number in _EVENT_ID.findall(response.body)]
        expected = list(range(1, pausing_instances.EVENTS + 1))
        # An event too many, or one out of order, is worse than a cut.
        assert numbers == expected[: len(numbers)], numbers
        is_whole = response.is_complete and numbers == expected
        return 'whole' if is_whole else 'cut', f'{len(numbers)} events'
