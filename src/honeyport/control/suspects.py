"""The leader's record of requests under which instances ended.

The decisions are in :mod:`honeyport.policy.suspicion`. Requests under several
ends are part of the replicated state, so that they are refused after a change
of leader and after a loss of all processes, too. Gateways are told at once and
the log a moment later: a slow disk must not hold up the word. Those under one
end are told anew by whoever saw it, to each new leader.
"""

import asyncio
import collections.abc

from honeyport.control import machine
from honeyport.control import replica
from honeyport import errors
from honeyport.policy import suspicion
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

# Between two looks at whether the log has what is known, in seconds: far
# below the seconds in which an instance that ended is back.
_RECORD_S = 0.1
# For how long a message to the gateways is used again, in seconds: a tick. The
# times in it are as much too early.
_MESSAGE_S = 0.05

Alive = collections.abc.Callable[[str, str], bool]


class Suspects:
    """The record of one replica, valid while it leads.

    :param alive: tells whether a router's incarnation holds a lease
    """

    def __init__(
        self,
        node: replica.Replica,
        alive: Alive,
        counters: metrics.Metrics,
    ) -> None:
        self._node = node
        self._alive = alive
        self._metrics = counters
        self._register = suspicion.EndRegister({}, 0.0)
        self._number = 0
        self._shown: list[suspicion.Suspect] = []
        self._barred: frozenset[str] = frozenset()
        self._is_unsaved = False
        self._is_stale = False
        self._due = float('inf')  # when the next one may be tried again
        self._message = pb.Suspects()
        self._message_until = float('-inf')
        counters.gauge('suspects', lambda: len(self._register))
        counters.gauge('requests_barred', lambda: len(self._barred))

    @property
    def number(self) -> int:
        """Grows with every change that gateways are told of; never 0."""
        return self._number

    @property
    def reported(self) -> list[suspicion.Suspect]:
        """The requests that gateways are told of."""
        return self._shown

    def start_term(self) -> None:
        """Begin a leadership with what the log has."""
        noted = self._node.machine.suspects
        self._register = suspicion.EndRegister(noted, _now())
        self._is_unsaved = False
        self._show()

    def handle_item(
        self, router: pb.Member, item: pb.RouterItem
    ) -> pb.ControlItem | None:
        """Take what a router says of requests; return an answer, if due."""
        kind = item.WhichOneof('item')
        if kind == 'ends':
            self._take_ends(router, item.ends)
        elif kind == 'acquittal':
            named = [one.hex() for one in item.acquittal.requests]
            self.clear(named, by=router.router)
        elif kind == 'permit':
            return pb.ControlItem(permit=self._answer(router, item.permit))
        elif kind == 'release':
            named = item.release.request.hex()
            self._register.release_permit(named, _holder(router))
        return None

    def _take_ends(self, router: pb.Member, ends: pb.Ends) -> None:
        """Take the ends that a gateway saw."""
        for end in ends.ends:
            at = _now() - end.age_ms / 1000
            for request in end.requests:
                self._count(request.hex(), end.backend, at, router.router)

    def clear(self, requests: collections.abc.Iterable[str], by: str) -> bool:
        """Forget requests; return whether one of them was known.

        :param by: who says that they are harmless, for the log
        """
        found = [one for one in requests if self._register.clear(one)]
        if found:
            logs.emit(events.SUSPECTS_CLEARED, fingerprints=found, by=by)
            self._metrics.count('suspects_cleared', len(found))
            self._is_unsaved = True
            self._show()
        return bool(found)

    def _answer(
        self, router: pb.Member, ask: pb.PermitRequest
    ) -> pb.PermitAnswer:
        """Say whether a gateway may run a request now."""
        request = ask.request.hex()
        verdict = self._register.request_permit(
            request, _holder(router), _now(), self._is_alive
        )
        logs.emit(
            events.PERMIT_GIVEN if verdict.granted else events.PERMIT_REFUSED,
            fingerprint=request,
            router=router.router,
            back_s=verdict.retry_after_s,
        )
        return pb.PermitAnswer(
            id=ask.id,
            granted=verdict.granted,
            back_ms=_milliseconds(verdict.retry_after_s or 0.0),
            barred=verdict.barred,
        )

    def refresh(self) -> None:
        """Note what gateways have to be told; called once a tick.

        With 512 requests that are refused, a look at all of them at each tick
        took 6 % of a core, for as long as they were.
        """
        if self._is_stale or _now() >= self._due:
            self._show()

    def message(self) -> pb.Suspects:
        """Return what gateways are told, all of it.

        Made once for all streams of a tick: for 512 requests it takes 2.3 ms
        (processor time, mean of 20).
        """
        now = _now()
        same = self._message.number == self._number
        if same and now < self._message_until:
            return self._message
        self._message = self._to_message(now)
        self._message_until = now + _MESSAGE_S
        return self._message

    def _to_message(self, now: float) -> pb.Suspects:
        message = pb.Suspects(number=self._number)
        for one in self._shown:
            message.suspects.add(
                request=bytes.fromhex(one.request),
                ends=one.ends,
                since_ms=max(0, int((now - one.first_end_at) * 1000)),
                barred=one.is_barred(now),
                back_ms=_milliseconds(one.barred_until - now),
            )
        return message

    def records(self) -> list[pb.SuspectRecord]:
        """Return the instances that ended under each that is shown."""
        return machine.suspect_records(self._ended())

    async def persist(self) -> None:
        """Write requests under several ends to the log while we lead."""
        while True:
            await asyncio.sleep(_RECORD_S)
            if self._is_unsaved and self._node.leads:
                self._is_unsaved = False
                await self._save()

    def _count(
        self, request: str, instance: str, at: float, router: str
    ) -> None:
        ends = self._register.record_end(request, instance, at)
        if ends < suspicion.PERMIT_MIN_ENDS:
            return  # one end takes all with it that ran there
        self._is_unsaved = True
        self._is_stale = True
        logs.emit(
            events.REQUEST_SUSPECTED,
            fingerprint=request,
            ends=ends,
            barred=ends >= suspicion.BAR_MIN_ENDS,
            instances=self._register.ended_instances(request),
            router=router,
        )

    def _show(self) -> None:
        """Give what gateways are told a new number if it changed."""
        now = _now()
        self._is_stale = False
        shown = self._register.suspects()
        until = {
            one.request: one.barred_until
            for one in shown
            if one.is_barred(now)
        }
        self._due = min(until.values(), default=float('inf'))
        barred = frozenset(until)
        if self._number and shown == self._shown and barred == self._barred:
            return
        self._shown = shown
        self._barred = barred
        self._number += 1

    def _ended(self) -> dict[str, tuple[str, ...]]:
        """Return the instances that ended under each that is shown."""
        return {
            one.request: self._register.ended_instances(one.request)
            for one in self._shown
        }

    async def _save(self) -> None:
        """Commit what changed; what fails comes again."""
        self.refresh()
        held = self._node.machine.suspects
        wanted = self._ended()
        changed = dict(wanted.items() - held.items())
        change = pb.SuspectChange(
            put=machine.suspect_records(changed),
            removed=[bytes.fromhex(one) for one in held.keys() - wanted],
        )
        if not change.put and not change.removed:
            return
        try:
            await self._node.propose(change)
        except errors.HoneyportError as error:
            self._is_unsaved = True
            logs.emit(
                events.SUSPECTS_UNSAVED, code=error.code, detail=error.detail
            )

    def _is_alive(self, holder: str) -> bool:
        router, _, incarnation = holder.partition('/')
        return self._alive(router, incarnation)


def _holder(router: pb.Member) -> str:
    return f'{router.router}/{router.incarnation}'


def _milliseconds(seconds: float) -> int:
    """Return a time left; 0 if it is over or has no end."""
    if seconds <= 0 or seconds == float('inf'):
        return 0
    return max(1, int(seconds * 1000))


def _now() -> float:
    return asyncio.get_running_loop().time()
