"""The callers' library: asks where to go, keeps the answer, stays safe.

What may be sent again is: a chat, since it is resumed or repeated under
the same request id; and a call with a key, since honeyport runs it at
most once. A call that is neither is sent again only if it did not run.
"""

import asyncio
import collections.abc
import json
import random
import secrets
import time
import typing
import urllib.parse
import uuid

import attrs

from honeyport.backend import http
from honeyport import clock
from honeyport.control import claims
from honeyport import errors
from honeyport.policy import retries
from honeyport.router import resume

_TRIES = 6
_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 5.0
_ASK_S = 2.0
_REMEMBERED = 100_000  # chats with an address or a placement
_TAIL = 256  # bytes that hold the end marks
# Routers that answers named and that are asked when the first ones are gone:
# a list names the few of one failure domain, so this holds several lists.
_MOST_MET = 16


@attrs.frozen
class Answer:
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def recorded(self) -> bool:
        """Whether it is the recorded outcome of an earlier call."""
        return self.headers.get('Honeyport-Recorded') == 'true'


@attrs.define
class _Known:
    addresses: list[str]
    until: float


class Client:
    """Calls the services of a fleet.

    :param addresses: a few routers to ask first
    :param account: the client account
    """

    def __init__(
        self, addresses: collections.abc.Sequence[str], account: str
    ) -> None:
        self._first = list(addresses)
        self._met: list[str] = []  # the latest first
        self._account = account
        self._known: dict[tuple[str, str], _Known] = {}
        self._placements: dict[tuple[str, str], str] = {}
        self._pools: dict[str, http.Pool] = {}
        self._budget = retries.RetryBudget()
        self._random = random.Random()

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()

    def placement(self, service: str, chat: str) -> str:
        """Return the engine that answered a chat last, or ``''``."""
        return self._placements.get((service, chat), '')

    async def chat(
        self,
        service: str,
        chat: str,
        messages: list[dict[str, str]],
        *,
        deadline_s: float = 60.0,
        **options: typing.Any,
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        """Yield the bytes of a chat's answer, an event stream.

        :raises errors.HoneyportError: if the answer is not whole
        """
        body = {
            'model': service,
            'messages': messages,
            'stream': True,
            **options,
        }
        request_id = uuid.uuid4().hex
        progress = _Progress()
        problem: errors.HoneyportError = errors.PeerLost('nobody answered')
        async for address in self._addresses(service, chat, deadline_s):
            request = self._chat_request(
                service, chat, request_id, body, deadline_s, progress
            )
            try:
                async for payload in self._stream(
                    address, service, chat, request, progress
                ):
                    yield payload
                return
            except errors.HoneyportError as error:
                problem = error
            if not _may_retry_chat(problem) or not self._budget.try_spend():
                raise problem
            progress.offset.begin_resume()
        raise problem

    def _chat_request(
        self,
        service: str,
        chat: str,
        request_id: str,
        body: dict[str, typing.Any],
        deadline_s: float,
        progress: '_Progress',
    ) -> http.Request:
        headers = self._headers(deadline_s)
        headers['X-Request-Id'] = request_id
        headers['Honeyport-Chat'] = chat
        headers['Honeyport-Linger'] = '1'
        headers['Honeyport-Placement'] = self.placement(service, chat)
        headers['Content-Type'] = 'application/json'
        if progress.length:
            headers['Last-Event-ID'] = str(progress.offset.last_event)
        return http.Request(
            method='POST',
            path='/v1/chat/completions',
            headers=list(headers.items()),
            body=json.dumps(body).encode(),
        )

    async def _stream(
        self,
        address: str,
        service: str,
        chat: str,
        request: http.Request,
        progress: '_Progress',
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        status = 200
        refused = b''
        async for part in self._pool(address).fetch(request):
            if isinstance(part, http.ResponseHead):
                start = part
                status = part.status
                self._remember(service, chat, part)
            elif status == 200:
                payload = progress.add(part)
                if payload:
                    yield payload
            else:
                refused += part
        if status != 200:
            raise _error(start, refused) or errors.PeerLost(f'status {status}')
        progress.check()

    async def call(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        repeatable: bool = False,
        key: str = '',
        deadline_s: float = 60.0,
    ) -> Answer:
        """Call a plain service.

        :param repeatable: whether it does no harm to run it twice; if
            not, it gets a key, and runs at most once
        :raises errors.HoneyportError: as the fleet answered
        """
        if not repeatable and not key:
            key = claims.new_key(time.time(), secrets.randbits)
        headers = self._headers(deadline_s)
        headers['Content-Type'] = 'application/json'
        if key:
            headers['Idempotency-Key'] = key
        request = http.Request(
            method=method,
            path=f'/services/{service}{path}',
            headers=list(headers.items()),
            body=body,
        )
        problem: errors.HoneyportError = errors.PeerLost('nobody answered')
        async for address in self._addresses(service, '', deadline_s):
            try:
                start, answer = await http.read(
                    self._pool(address), request, deadline_s
                )
            except (errors.NotSent, errors.BackendLost) as error:
                problem = error
                continue
            found = _error(start, answer)
            if found is None:
                return Answer(start.status, dict(start.headers), answer)
            problem = found
            if not _may_retry(found):
                raise found
            await asyncio.sleep(min(found.retry_after or 0, _LONGEST_PAUSE_S))
        raise problem

    async def _addresses(
        self, service: str, chat: str, deadline_s: float
    ) -> collections.abc.AsyncIterator[str]:
        """Yield one address after another, with pauses in between."""
        self._budget.record_request()
        loop = asyncio.get_running_loop()
        until = loop.time() + deadline_s
        pause_s = _PAUSE_S
        for number in range(_TRIES):
            known = await self._ask(service, chat, fresh=number > 0)
            yield known[number % len(known)]
            jitter = self._random.uniform(0.5, 1.5)
            if loop.time() + pause_s * jitter > until:
                return
            await asyncio.sleep(pause_s * jitter)
            pause_s = min(pause_s * 2, _LONGEST_PAUSE_S)

    async def _ask(self, service: str, chat: str, *, fresh: bool) -> list[str]:
        """Return the addresses to use, asking when they are too old."""
        now = clock.now()
        known = self._known.get((service, chat))
        if known is not None and known.until > now and not fresh:
            return known.addresses
        query = urllib.parse.urlencode(
            {
                'service': service,
                'chat': chat,
                'placement': self._placements.get((service, chat), ''),
            }
        )
        request = http.Request(method='GET', path=f'/v1/addresses?{query}')
        for address in self._routers():
            try:
                start, body = await http.read(
                    self._pool(address), request, _ASK_S
                )
            except (errors.NotSent, errors.BackendLost):
                continue
            if start.status != 200:
                continue
            found = json.loads(body)
            addresses = [one['address'] for one in found['addresses']]
            until = now + found['ttl_s']
            self._meet(addresses)
            self._known[service, chat] = _Known(addresses, until)
            _trim(self._known)
            return addresses
        return known.addresses if known else self._first

    def _routers(self) -> list[str]:
        """Return whom to ask for addresses, the first ones in any order.

        Those may all be gone one day; what answers named since is asked, too.
        """
        first = self._random.sample(self._first, len(self._first))
        return [*first, *(one for one in self._met if one not in first)]

    def _meet(self, addresses: list[str]) -> None:
        met = dict.fromkeys([*addresses, *self._met])
        self._met = list(met)[:_MOST_MET]

    def _remember(
        self, service: str, chat: str, start: http.ResponseHead
    ) -> None:
        placement = start.headers.get('Honeyport-Placement', '')
        if placement:
            self._placements[service, chat] = placement
            _trim(self._placements)

    def _headers(self, deadline_s: float) -> dict[str, str]:
        return {
            'Honeyport-Account': self._account,
            'Honeyport-Deadline': str(deadline_s),
        }

    def _pool(self, address: str) -> http.Pool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = http.Pool(address)
        return pool


class _Progress:
    """How far a stream of events has come, and whether it is whole."""

    def __init__(self) -> None:
        self.offset = resume.StreamOffset()
        self.length = 0
        self._tail = b''

    def add(self, part: bytes) -> bytes:
        """Count bytes in; return those that the caller lacks."""
        payload = self.offset.strip_received(part)
        self.length += len(payload)
        self._tail = (self._tail + payload)[-_TAIL:]
        return payload

    def check(self) -> None:
        """Raise unless the stream says that it is whole."""
        _, found, rest = self._tail.rpartition(b'data: [DONE]\n\n')
        if not found or not rest.startswith(b': whole bytes='):
            raise errors.AnswerCut('the stream ended early')


def _trim(remembered: dict[tuple[str, str], typing.Any]) -> None:
    """Forget what was remembered first, beyond a limit."""
    while len(remembered) > _REMEMBERED:
        del remembered[next(iter(remembered))]


def _error(
    start: http.ResponseHead, body: bytes
) -> errors.HoneyportError | None:
    """Return the typed error of an answer, if it is one."""
    if start.status < 400 or 'Honeyport-Router' in start.headers:
        return None
    try:
        found = json.loads(body)['error']
    except (ValueError, KeyError, TypeError):
        return None
    error = errors.by_code(found['code'])(
        found['message'], retry_after=found.get('retry_after_s')
    )
    error.ran = found['ran']
    return error


def _may_retry_chat(error: errors.HoneyportError) -> bool:
    """Whether the same chat request may be sent again."""
    final = (errors.BadRequest, errors.UnknownService, errors.UnknownAccount)
    spent = (errors.DeadlinePassed, errors.RequestBarred)
    return not isinstance(error, (*final, *spent))


def _may_retry(error: errors.HoneyportError) -> bool:
    """Whether a repetition is safe and may do better."""
    later = (errors.NotReady, errors.Draining, errors.Overloaded)
    running = (
        errors.StillRunning,
        errors.ControlUnavailable,
        errors.RequestHeld,
    )
    return isinstance(error, (*later, *running, errors.NotSent))
