"""Whether an instance ended under the requests that broke there.

A broken connection alone says little: it may have been reset on its way, or
its answer lost, while the instance is well. What tells an end is that nothing
listens at the instance's address right after, or that the platform's list
drops it though it was not leaving.
"""

import asyncio
import collections.abc
import typing

import attrs

from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import log as logs

# When an instance is asked for a connection after a request broke there, in
# seconds. A process that ends closes its connections over some 10 ms, and
# takes new ones meanwhile; it is back no sooner than after a second.
_PROBES_S = (0.05, 0.4)
# For how long a request that broke without such a sign may still be under an
# end, in seconds. The platform's list drops an instance 5 s after its end.
_DOUBT_S = 15.0
# The same where connections are taken: something in front of an instance may
# take them for it. Only the list tells then, and no later than this.
_LISTED_S = 6.0
# Requests that are kept for an instance: what 20 slow ones of 50 slots break.
_MOST_KEPT = 1000
# Fingerprints in one log line.
_MOST_LOGGED = 20

# What shows that an instance ended, in the log.
CONNECTION_REFUSED = 'nothing listens there'
ADDRESS_REUSED = 'another instance is there'
_UNLISTED = 'the list names it no longer'

OnEnd = collections.abc.Callable[[str, frozenset[str]], None]


class Instance(typing.Protocol):
    """What runs requests: an instance, or a backend server of a bundle."""

    @property
    def id(self) -> str:
        """Its name."""

    @property
    def address(self) -> str:
        """Where it listens."""


Probe = collections.abc.Callable[[typing.Any], collections.abc.Awaitable[None]]


@attrs.define
class _Doubt:
    """Requests that broke on an instance, by fingerprint, and when.

    :ivar lived: those after which the instance took connections
    """

    instance: Instance
    broke: dict[str, float] = attrs.field(factory=dict)
    lived: dict[str, float] = attrs.field(factory=dict)
    task: asyncio.Task[None] | None = None


class EndDetector:
    """Watches instances on which requests of this process broke.

    :param probe: connects to an instance; raises
        :class:`errors.ConnectionRefused` if nothing listens there, and
        :class:`errors.NotSent` if that fails otherwise
    :param on_end: called with an instance and the requests under its end
    """

    def __init__(self, probe: Probe, on_end: OnEnd) -> None:
        self._connect = probe
        self._on_end = on_end
        self._doubts: dict[str, _Doubt] = {}
        self._listed: set[str] = set()
        self._leaving: set[str] = set()

    def record_broken(self, instance: Instance, fingerprint: str) -> None:
        """Note that a request's connection broke; find out why."""
        doubt = self._note(instance, fingerprint)
        if doubt.task is None:
            doubt.task = asyncio.create_task(self._probe(doubt))

    def record_timeout(self, instance: Instance, fingerprint: str) -> None:
        """Note that a request got no answer in time.

        Instances that are slow do that often; none is probed for it.
        """
        self._note(instance, fingerprint)

    def record_gone(self, instance: str, sign: str) -> None:
        """Note that an instance is no longer at its address.

        :param sign: what shows it, for the log
        """
        doubt = self._doubts.pop(instance, None)
        if doubt is not None:
            self._end(doubt, sign)

    def apply_listing(self, listed: set[str], leaving: set[str]) -> None:
        """Take the platform's list; who was on it and is not has ended.

        :param leaving: those that leave in an orderly way
        """
        for name in self._listed - listed:
            self.record_gone(name, _UNLISTED)
        # One that just left the list in an orderly way may still be about to
        # close its connections.
        left = self._leaving & (self._listed - listed)
        self._listed = listed
        self._leaving = leaving | left
        self._forget_old()

    def mark_leaving(self, instance: str) -> None:
        """Take it that an instance leaves in an orderly way."""
        self._leaving.add(instance)

    async def wait_probed(self, instance: str) -> None:
        """Return once an instance is not being probed."""
        doubt = self._doubts.get(instance)
        if doubt is not None and doubt.task is not None:
            await asyncio.wait([doubt.task])

    def call_when_probed(
        self, instance: str, call: collections.abc.Callable[[], None]
    ) -> None:
        """Call a function once an instance is not being probed."""
        doubt = self._doubts.get(instance)
        if doubt is None or doubt.task is None:
            call()
        else:
            doubt.task.add_done_callback(lambda _: call())

    def close(self) -> None:
        """End all probes."""
        for doubt in self._doubts.values():
            if doubt.task is not None:
                doubt.task.cancel()

    def _note(self, instance: Instance, fingerprint: str) -> _Doubt:
        now = asyncio.get_running_loop().time()
        doubt = self._doubts.setdefault(instance.id, _Doubt(instance))
        doubt.broke.pop(fingerprint, None)  # the oldest stay first
        doubt.broke[fingerprint] = now
        if len(doubt.broke) > _MOST_KEPT:
            del doubt.broke[next(iter(doubt.broke))]
        return doubt

    def _forget_old(self) -> None:
        """Forget what broke too long ago to be under an end."""
        for name, doubt in list(self._doubts.items()):
            kept = _since(doubt.broke, _DOUBT_S) | _since(
                doubt.lived, _DOUBT_S
            )
            if not kept and doubt.task is None:
                del self._doubts[name]

    async def _probe(self, doubt: _Doubt) -> None:
        name = doubt.instance.id
        answered = True
        waited_s = 0.0
        for at_s in _PROBES_S:
            await asyncio.sleep(at_s - waited_s)
            waited_s = at_s
            try:
                await self._connect(doubt.instance)
            except errors.ConnectionRefused:
                self.record_gone(name, CONNECTION_REFUSED)
                return
            except errors.NotSent:
                answered = False
        doubt.task = None
        if answered:
            self._live(doubt)

    def _live(self, doubt: _Doubt) -> None:
        doubt.lived = doubt.broke
        doubt.broke = {}
        logs.emit(
            events.INSTANCE_LIVES,
            backend=doubt.instance.id,
            address=doubt.instance.address,
            **_to_fields(set(doubt.lived)),
        )

    def _end(self, doubt: _Doubt, sign: str) -> None:
        """Report an end, unless it was due."""
        under = _since(doubt.broke, _DOUBT_S)
        if sign == _UNLISTED:
            under |= _since(doubt.lived, _LISTED_S)
        if not under:
            return
        is_leaving = doubt.instance.id in self._leaving
        logs.emit(
            events.INSTANCE_ENDED,
            backend=doubt.instance.id,
            address=doubt.instance.address,
            sign=sign,
            leaving=is_leaving,
            **_to_fields(under),
        )
        if not is_leaving:
            self._on_end(doubt.instance.id, frozenset(under))


def _since(broke: dict[str, float], seconds: float) -> set[str]:
    """Return the requests that broke within the last seconds."""
    oldest = asyncio.get_running_loop().time() - seconds
    return {one for one, at in broke.items() if at > oldest}


def _to_fields(
    fingerprints: collections.abc.Set[str],
) -> dict[str, object]:
    """Return the fields of a log line that name requests."""
    return {
        'requests': len(fingerprints),
        'fingerprints': sorted(fingerprints)[:_MOST_LOGGED],
    }
