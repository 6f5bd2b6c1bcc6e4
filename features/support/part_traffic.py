"""Traffic of which some requests have the part that crashes instances."""

import asyncio
import itertools
import time

import attrs

from features.support import crashing
from features.support import platform as platforms

_FATAL_EVERY = 8  # every how many requests have the part
_ROOT = '0a110000'  # first part of all prompts
_SERVED = (200, b'done')
_UNAVAILABLE = 503


@attrs.frozen
class Sent:
    """A request and its response.

    :ivar at: when it was sent, in loop time
    :ivar is_fatal: whether its prompt contains the fatal part
    """

    at: float
    is_fatal: bool
    status: int
    body: bytes

    @property
    def is_served(self) -> bool:
        """Whether the response is the instance's."""
        return (self.status, self.body) == _SERVED

    @property
    def is_refused(self) -> bool:
        """Whether a gateway refused it."""
        return self.status == _UNAVAILABLE


class Traffic:
    """Requests to all gateways in turn; no two are alike.

    :param position: of the fatal part: ``first``, ``middle``,
        ``second to last``, or ``last``
    """

    def __init__(self, platform: platforms.Platform, position: str) -> None:
        self._platform = platform
        self._position = position
        self._numbers = itertools.count(time.monotonic_ns() % 10**9)
        self.sent: list[Sent] = []

    async def run(self, rate: float, duration_s: float) -> None:
        """Send requests for a while, and wait for the responses.

        :param rate: requests per second
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + duration_s
        async with asyncio.TaskGroup() as group:
            while loop.time() < until:
                group.create_task(self._send(next(self._numbers)))
                await asyncio.sleep(1 / rate)

    async def send_fatal(self, count: int) -> None:
        """Send requests with the part to each gateway, all at once."""
        async with asyncio.TaskGroup() as group:
            for _ in range(count * len(self._platform.nodes)):
                number = next(self._numbers)
                group.create_task(self._send(number, is_fatal=True))

    async def send_waiting(self, interval_s: float, duration_s: float) -> None:
        """Send requests with the part that wait at their instances."""
        async with asyncio.TaskGroup() as group:
            for _ in range(round(duration_s / interval_s)):
                number = next(self._numbers)
                group.create_task(
                    self._send(
                        number,
                        is_fatal=True,
                        text=f'{crashing.WAITING_BODY.decode()} {number}',
                    )
                )
                await asyncio.sleep(interval_s)

    async def _send(
        self, number: int, is_fatal: bool | None = None, text: str = ''
    ) -> None:
        if is_fatal is None:
            is_fatal = number % _FATAL_EVERY == _FATAL_EVERY - 1
        nodes = self._platform.nodes
        at = asyncio.get_running_loop().time()
        status, body = await self._platform.send_request(
            nodes[number % len(nodes)],
            f'traffic-{number}',
            f'/app/{number}',
            text or f'question {number}',
            parts=self._parts(number, is_fatal),
        )
        self.sent.append(Sent(at, is_fatal, status, body))

    def _parts(self, number: int, is_fatal: bool) -> list[str]:
        """Return the parts of a prompt; the last one is its own."""
        document = f'd0c{number % 5:05x}'
        own = f'{number:08x}'
        if not is_fatal:
            return [_ROOT, document, own]
        fatal = crashing.FATAL_PART
        return {
            'first': [fatal, document, own],
            'middle': [_ROOT, fatal, document, own],
            'second to last': [_ROOT, document, fatal, own],
            'last': [_ROOT, document, fatal],
        }[self._position]
