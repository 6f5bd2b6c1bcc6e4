"""Client library: discovers routers, retries safely and resumes streams.

A chat is retried under the same request id, so that its stream is resumed;
a plain call is retried because it is repeatable or has an idempotency key,
with which it runs at most once.
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

_ATTEMPTS_MAX = 6
_BACKOFF_MIN_S = 0.1
_BACKOFF_MAX_S = 5.0
_DISCOVERY_TIMEOUT_S = 2.0
_CACHED_CHATS_MAX = 100_000  # entries of each cache
_TAIL_BYTES = 256  # enough for the end markers of a stream
# A list holds the routers of one failure domain; this holds several lists.
_DISCOVERED_ROUTERS_MAX = 16


@attrs.frozen
class Answer:
    """A complete response of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def recorded(self) -> bool:
        """Whether this is the recorded outcome of an earlier call."""
        return self.headers.get('Honeyport-Recorded') == 'true'


@attrs.define
class _CachedAddresses:
    addresses: list[str]
    expires_at: float


class Client:
    """Calls the services of a fleet.

    :param addresses: routers to ask for addresses, as ``IP:PORT``
    :param account: the client account
    """

    def __init__(
        self, addresses: collections.abc.Sequence[str], account: str
    ) -> None:
        self._seed_routers = list(addresses)
        self._discovered_routers: list[str] = []  # newest first
        self._account = account
        self._address_cache: dict[tuple[str, str], _CachedAddresses] = {}
        self._placements: dict[tuple[str, str], str] = {}
        self._pools: dict[str, http.Pool] = {}
        self._retry_budget = retries.RetryBudget()
        self._random = random.Random()

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()

    def placement(self, service: str, chat: str) -> str:
        """Return the engine that last answered a chat, or ``''``."""
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
        """Send a chat and yield the bytes of its event stream.

        :raises errors.HoneyportError: if the answer is not complete
        """
        body = {
            'model': service,
            'messages': messages,
            'stream': True,
            **options,
        }
        request_id = uuid.uuid4().hex
        progress = _Progress()
        last_error: errors.HoneyportError = errors.PeerLost(
            'no router answered'
        )
        async for address in self._attempt_addresses(
            service, chat, deadline_s
        ):
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
                last_error = error
            if (
                not _may_retry_chat(last_error)
                or not self._retry_budget.try_spend()
            ):
                raise last_error
            progress.offset.begin_resume()
        raise last_error

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
        error_body = b''
        async for part in self._pool(address).fetch(request):
            if isinstance(part, http.ResponseHead):
                head = part
                status = part.status
                self._store_placement(service, chat, part)
            elif status == 200:
                payload = progress.add(part)
                if payload:
                    yield payload
            else:
                error_body += part
        if status != 200:
            raise _parse_error(head, error_body) or errors.PeerLost(
                f'status {status}'
            )
        progress.check_complete()

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

        :param repeatable: whether the call is idempotent; if not, it gets
            an idempotency key and runs at most once
        :param key: the idempotency key; by default a new one
        :raises errors.HoneyportError: the fleet's error
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
        last_error: errors.HoneyportError = errors.PeerLost(
            'no router answered'
        )
        async for address in self._attempt_addresses(service, '', deadline_s):
            try:
                head, answer = await http.read(
                    self._pool(address), request, deadline_s
                )
            except (errors.NotSent, errors.BackendLost) as error:
                last_error = error
                continue
            fleet_error = _parse_error(head, answer)
            if fleet_error is None:
                return Answer(head.status, dict(head.headers), answer)
            last_error = fleet_error
            if not _may_retry(fleet_error):
                raise fleet_error
            await asyncio.sleep(
                min(fleet_error.retry_after or 0, _BACKOFF_MAX_S)
            )
        raise last_error

    async def _attempt_addresses(
        self, service: str, chat: str, deadline_s: float
    ) -> collections.abc.AsyncIterator[str]:
        """Yield the address of each attempt, with exponential backoff."""
        self._retry_budget.record_request()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + deadline_s
        backoff_s = _BACKOFF_MIN_S
        for attempt in range(_ATTEMPTS_MAX):
            addresses = await self._discover(
                service, chat, bypass_cache=attempt > 0
            )
            yield addresses[attempt % len(addresses)]
            jitter = self._random.uniform(0.5, 1.5)
            if loop.time() + backoff_s * jitter > deadline:
                return
            await asyncio.sleep(backoff_s * jitter)
            backoff_s = min(backoff_s * 2, _BACKOFF_MAX_S)

    async def _discover(
        self, service: str, chat: str, *, bypass_cache: bool
    ) -> list[str]:
        """Return the addresses for a chat, from the cache or a router.

        Without an answer, expired addresses or the seed routers are used.
        """
        now = clock.now()
        cached = self._address_cache.get((service, chat))
        if cached is not None and cached.expires_at > now and not bypass_cache:
            return cached.addresses
        query = urllib.parse.urlencode(
            {
                'service': service,
                'chat': chat,
                'placement': self._placements.get((service, chat), ''),
            }
        )
        request = http.Request(method='GET', path=f'/v1/addresses?{query}')
        for address in self._routers_to_ask():
            try:
                head, body = await http.read(
                    self._pool(address), request, _DISCOVERY_TIMEOUT_S
                )
            except (errors.NotSent, errors.BackendLost):
                continue
            if head.status != 200:
                continue
            listing = json.loads(body)
            addresses = [entry['address'] for entry in listing['addresses']]
            expires_at = now + listing['ttl_s']
            self._add_discovered(addresses)
            self._address_cache[service, chat] = _CachedAddresses(
                addresses, expires_at
            )
            _evict_oldest(self._address_cache)
            return addresses
        return cached.addresses if cached else self._seed_routers

    def _routers_to_ask(self) -> list[str]:
        """Return the seed routers in random order, then discovered ones.

        Discovered routers keep discovery working when no seed router responds.
        """
        seeds = self._random.sample(
            self._seed_routers, len(self._seed_routers)
        )
        return [
            *seeds,
            *(
                address
                for address in self._discovered_routers
                if address not in seeds
            ),
        ]

    def _add_discovered(self, addresses: list[str]) -> None:
        newest_first = dict.fromkeys([*addresses, *self._discovered_routers])
        self._discovered_routers = list(newest_first)[:_DISCOVERED_ROUTERS_MAX]

    def _store_placement(
        self, service: str, chat: str, head: http.ResponseHead
    ) -> None:
        placement = head.headers.get('Honeyport-Placement', '')
        if placement:
            self._placements[service, chat] = placement
            _evict_oldest(self._placements)

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
    """Position in an event stream, and whether the stream is complete."""

    def __init__(self) -> None:
        self.offset = resume.StreamOffset()
        self.length = 0
        self._tail = b''

    def add(self, part: bytes) -> bytes:
        """Record received bytes; return those not yet passed on."""
        payload = self.offset.strip_received(part)
        self.length += len(payload)
        self._tail = (self._tail + payload)[-_TAIL_BYTES:]
        return payload

    def check_complete(self) -> None:
        """Raise unless the stream ended with its completion markers.

        :raises errors.AnswerCut: if the markers are missing
        """
        _, marker, trailer = self._tail.rpartition(b'data: [DONE]\n\n')
        if not marker or not trailer.startswith(b': whole bytes='):
            raise errors.AnswerCut('the stream ended without its end markers')


def _evict_oldest(cache: dict[tuple[str, str], typing.Any]) -> None:
    """Remove the entries added first while a cache is over its limit."""
    while len(cache) > _CACHED_CHATS_MAX:
        del cache[next(iter(cache))]


def _parse_error(
    head: http.ResponseHead, body: bytes
) -> errors.HoneyportError | None:
    """Return the fleet's error in a response, or ``None``.

    Error responses of the service itself are no errors of the fleet.
    """
    if head.status < 400 or 'Honeyport-Router' in head.headers:
        return None
    try:
        fields = json.loads(body)['error']
    except (ValueError, KeyError, TypeError):
        return None
    error = errors.by_code(fields['code'])(
        fields['message'], retry_after=fields.get('retry_after_s')
    )
    error.ran = fields['ran']
    return error


def _may_retry_chat(error: errors.HoneyportError) -> bool:
    """Return whether a chat may be retried after an error."""
    invalid = (errors.BadRequest, errors.UnknownService, errors.UnknownAccount)
    stopped = (errors.DeadlinePassed, errors.RequestBarred)
    return not isinstance(error, (*invalid, *stopped))


def _may_retry(error: errors.HoneyportError) -> bool:
    """Return whether a retry is safe and may succeed."""
    unavailable = (errors.NotReady, errors.Draining, errors.Overloaded)
    undecided = (
        errors.StillRunning,
        errors.ControlUnavailable,
        errors.RequestHeld,
    )
    return isinstance(error, (*unavailable, *undecided, errors.NotSent))
