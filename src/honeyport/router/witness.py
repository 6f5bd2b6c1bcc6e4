"""Detection of instances that crashed while requests ran there.

A broken connection alone is no proof: it may have been reset by the network.
An instance counts as crashed if its address refuses connections right after
and this process is not cut off, or if the platform's list no longer contains
it though it was not leaving.
"""

import asyncio
import collections.abc
import typing

import attrs

from honeyport import errors
from honeyport.policy import traits
from honeyport.telemetry import events
from honeyport.telemetry import log as logs

# Times of the probes after a connection broke. There are two because a process
# that ends may still accept connections, and may soon be running again.
_PROBE_TIMES_S = (0.05, 0.4)
# How long a broken request counts as affected by a later crash. The
# platform's list drops a crashed instance after about 5 s.
_CRASH_WINDOW_S = 15.0
# The same after successful probes: a proxy may have accepted them for a
# crashed instance, and then only the platform's list shows the crash.
_DELISTING_WINDOW_S = 6.0
_MAX_BROKEN_REQUESTS = 1000  # for each instance
_MAX_BROKEN_PARTS = 8192  # in the prompts of all of them
_MAX_LOGGED_REQUESTS = 20  # in one log line
_MAX_LOGGED_PARTS = 16  # of each of them

# Evidence of a crash, as it is logged.
CONNECTION_REFUSED = 'connection refused'
ADDRESS_REUSED = 'another instance has the address'
_UNLISTED = 'no longer listed by the platform'

Requests = collections.abc.Set[traits.Traits]
OnEnd = collections.abc.Callable[[str, frozenset[traits.Traits], float], None]


class Instance(typing.Protocol):
    """An instance, or a backend server of a bundle."""

    @property
    def id(self) -> str:
        """The name that identifies it."""

    @property
    def address(self) -> str:
        """The address that it listens on."""


Probe = collections.abc.Callable[[typing.Any], collections.abc.Awaitable[None]]
HasEnded = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[bool]
]


async def _always_ended(instance: Instance) -> bool:
    return True


@attrs.define
class _BrokenRequests:
    """The broken requests of one instance.

    :ivar broken_at: when they broke, in loop time
    :ivar survived_at: the same for requests after which all probes succeeded
    :ivar part_count: number of prompt parts of the requests in ``broken_at``
    :ivar lost_at: when the last of their connections broke; ``None`` if they
        only got no answer
    :ivar is_refused: whether a request's connection was refused afterwards
    :ivar task: the probes that are running
    """

    instance: Instance
    broken_at: dict[traits.Traits, float] = attrs.field(factory=dict)
    survived_at: dict[traits.Traits, float] = attrs.field(factory=dict)
    part_count: int = 0
    lost_at: float | None = None
    is_refused: bool = False
    task: asyncio.Task[None] | None = None


class EndDetector:
    """Detects crashes of instances on which requests of this process broke.

    :param probe: connects to an instance; raises
        :class:`errors.ConnectionRefused` if the connection was refused, and
        :class:`errors.NotSent` if it failed otherwise
    :param on_end: called with the name of a crashed instance, the requests
        that broke there, and the loop time of the crash
    :param has_ended: returns whether an instance that refuses connections has
        ended, rather than the way to it
    """

    def __init__(
        self,
        probe: Probe,
        on_end: OnEnd,
        has_ended: HasEnded = _always_ended,
    ) -> None:
        self._connect = probe
        self._on_end = on_end
        self._has_ended = has_ended
        self._broken_requests: dict[str, _BrokenRequests] = {}
        self._listed: set[str] = set()
        self._leaving: set[str] = set()

    def record_broken(
        self, instance: Instance, request: traits.Traits
    ) -> None:
        """Record that a request's connection broke; probe the instance."""
        record = self._add_broken(instance, request)
        record.lost_at = asyncio.get_running_loop().time()
        if record.task is None:
            record.task = asyncio.create_task(self._probe(record))

    def record_timeout(
        self, instance: Instance, request: traits.Traits
    ) -> None:
        """Record that a request got no answer in time.

        Slow instances cause this as well, so that no probe follows.
        """
        self._add_broken(instance, request)

    def record_refused(self, instance: Instance) -> None:
        """Record that an instance refused a request's connection."""
        record = self._broken_requests.get(instance.id)
        if record is None:
            return
        record.is_refused = True
        if record.task is None:
            record.task = asyncio.create_task(self._report_if_ended(record))

    def record_gone(self, instance: str, sign: str) -> None:
        """Record that an instance is no longer at its address.

        :param sign: the evidence, for the log
        """
        record = self._broken_requests.pop(instance, None)
        if record is not None:
            self._report_end(record, sign)

    def apply_listing(self, listed: set[str], leaving: set[str]) -> None:
        """Apply the platform's list; an instance removed from it has ended.

        :param listed: the names of all instances
        :param leaving: the names of those that are shutting down gracefully
        """
        for name in self._listed - listed:
            self.record_gone(name, _UNLISTED)
        # An instance that left the list after a graceful shutdown may still
        # have connections to close.
        just_removed = self._leaving & (self._listed - listed)
        self._listed = listed
        self._leaving = leaving | just_removed
        self._remove_expired()

    def mark_leaving(self, instance: str) -> None:
        """Record that an instance is shutting down gracefully."""
        self._leaving.add(instance)

    async def wait_probed(self, instance: str) -> None:
        """Wait until an instance is not being probed."""
        record = self._broken_requests.get(instance)
        if record is not None and record.task is not None:
            await asyncio.wait([record.task])

    def call_when_probed(
        self, instance: str, callback: collections.abc.Callable[[], None]
    ) -> None:
        """Call a function once an instance is not being probed.

        :param callback: called at once if no probes are running
        """
        record = self._broken_requests.get(instance)
        if record is None or record.task is None:
            callback()
        else:
            record.task.add_done_callback(lambda _: callback())

    def close(self) -> None:
        """Cancel all probes."""
        for record in self._broken_requests.values():
            if record.task is not None:
                record.task.cancel()

    def _add_broken(
        self, instance: Instance, request: traits.Traits
    ) -> _BrokenRequests:
        now = asyncio.get_running_loop().time()
        record = self._broken_requests.setdefault(
            instance.id, _BrokenRequests(instance)
        )
        if record.broken_at.pop(request, None) is None:
            record.part_count += len(request.parts)
        record.broken_at[request] = now  # the oldest is first
        while (
            len(record.broken_at) > _MAX_BROKEN_REQUESTS
            or record.part_count > _MAX_BROKEN_PARTS
        ):
            oldest = next(iter(record.broken_at))
            del record.broken_at[oldest]
            record.part_count -= len(oldest.parts)
        return record

    def _remove_expired(self) -> None:
        """Remove the records of requests that broke too long ago."""
        for name, record in list(self._broken_requests.items()):
            recent = _broken_within(
                record.broken_at, _CRASH_WINDOW_S
            ) | _broken_within(record.survived_at, _CRASH_WINDOW_S)
            if not recent and record.task is None:
                del self._broken_requests[name]

    async def _probe(self, record: _BrokenRequests) -> None:
        all_accepted = True
        elapsed_s = 0.0
        for probe_time_s in _PROBE_TIMES_S:
            await asyncio.sleep(probe_time_s - elapsed_s)
            elapsed_s = probe_time_s
            try:
                await self._connect(record.instance)
            except errors.ConnectionRefused:
                record.is_refused = True
            except errors.NotSent:
                all_accepted = False
            if record.is_refused:
                await self._report_if_ended(record)
                return
        record.task = None
        if all_accepted:
            self._record_alive(record)

    async def _report_if_ended(self, record: _BrokenRequests) -> None:
        """Report an instance that refuses connections, unless it runs."""
        if await self._has_ended(record.instance):
            self.record_gone(record.instance.id, CONNECTION_REFUSED)
        record.is_refused = False
        record.task = None

    def _record_alive(self, record: _BrokenRequests) -> None:
        record.survived_at = record.broken_at
        record.broken_at = {}
        record.part_count = 0
        logs.emit(
            events.INSTANCE_LIVES,
            backend=record.instance.id,
            address=record.instance.address,
            **_to_fields(set(record.survived_at)),
        )

    def _report_end(self, record: _BrokenRequests, sign: str) -> None:
        """Report the end of an instance as a crash unless it was leaving."""
        affected = _broken_within(record.broken_at, _CRASH_WINDOW_S)
        if sign == _UNLISTED:
            affected |= _broken_within(record.survived_at, _DELISTING_WINDOW_S)
        if not affected:
            return
        is_leaving = record.instance.id in self._leaving
        logs.emit(
            events.INSTANCE_ENDED,
            backend=record.instance.id,
            address=record.instance.address,
            sign=sign,
            leaving=is_leaving,
            **_to_fields(affected),
        )
        if is_leaving:
            return
        now = asyncio.get_running_loop().time()
        at = record.lost_at if record.lost_at is not None else now
        self._on_end(record.instance.id, frozenset(affected), at)


def _broken_within(
    broken_at: dict[traits.Traits, float], window_s: float
) -> set[traits.Traits]:
    """Return the requests that broke within a window before now."""
    cutoff = asyncio.get_running_loop().time() - window_s
    return {
        request
        for request, broken_at_s in broken_at.items()
        if broken_at_s > cutoff
    }


def _to_fields(requests: Requests) -> dict[str, object]:
    """Return the log fields for a set of requests.

    Those in ``prompts`` are in the order of ``fingerprints``.
    """
    logged = sorted(requests, key=lambda request: request.fingerprint)
    logged = logged[:_MAX_LOGGED_REQUESTS]
    fields: dict[str, object] = {
        'requests': len(requests),
        'fingerprints': [request.fingerprint for request in logged],
    }
    if any(request.parts for request in logged):
        fields['prompts'] = [
            [request.account, *request.parts[:_MAX_LOGGED_PARTS]]
            for request in logged
        ]
    return fields
