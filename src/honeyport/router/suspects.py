"""What a router knows of requests under which instances ended.

It tells the leader of each end that it sees, takes from it which requests are
held back in the whole fleet, and asks it before it sends one of these. The
decisions are in :mod:`honeyport.policy.suspicion`.
"""

import asyncio
import collections
import collections.abc
import contextlib
import itertools

import attrs

from honeyport import errors
from honeyport.policy import suspicion
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

# For the leader's answer whether a request may run, in seconds: a round trip
# between regions (0.15), and two of the leader's ticks (0.05). Without an
# answer the request is refused, since others may be running it.
_ANSWER_S = 0.5
# When a request may come back that nobody gave an answer on, in seconds:
# about when there is a leader again.
_COME_BACK_S = 1.0
# Ends that are told to each new leader, and requests in them. It has lost
# what the last one knew of requests under one end.
_MOST_ENDS = 64
_MOST_OWN = 2048
# Requests that ran to their end lately: what clears one that others suspect.
# At the busiest gateway (30 requests a second) those of half a minute; they
# take 0.26 MB.
_MOST_SERVED = 1024
# Messages that wait for a stream to a leader.
_MOST_UNSENT = 64

WhenOver = collections.abc.Callable[[collections.abc.Callable[[], None]], None]
Send = collections.abc.Callable[[pb.RouterItem], bool]


@attrs.frozen
class _End:
    """An instance that ended, when that was seen, and what ran there."""

    instance: str
    at: float
    requests: frozenset[str]


class SuspectTracker:
    """The requests that this router holds back, and why."""

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self._send: Send = lambda item: False
        self._known: dict[str, suspicion.Suspect] = {}
        self._ends: collections.deque[_End] = collections.deque(
            maxlen=_MOST_ENDS
        )
        self._own: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._served: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._unsent: collections.deque[pb.RouterItem] = collections.deque(
            maxlen=_MOST_UNSENT
        )
        self._numbers = itertools.count(1)
        self._asked: dict[int, asyncio.Future[pb.PermitAnswer]] = {}
        counters.gauge('suspects_known', lambda: self.count)

    @property
    def count(self) -> int:
        """How many requests are held back in the whole fleet."""
        return len(self._known)

    def set_sender(self, send: Send) -> None:
        """Take what sends an item to the leader, if there is a stream."""
        self._send = send

    # -- what whoever serves requests asks -------------------------------

    @contextlib.asynccontextmanager
    async def admit(
        self, request: str, when_over: WhenOver
    ) -> collections.abc.AsyncIterator[None]:
        """Let a request run, alone in the fleet if it is under suspicion.

        :param request: its fingerprint
        :param when_over: calls a function once it is known how it ended
        :raises errors.RequestBarred: if too many instances ended under it
        :raises errors.RequestHeld: if it may not run now
        """
        is_held = await self._enter(request)
        try:
            yield
        finally:
            if is_held:
                when_over(lambda: self._leave(request))

    async def _enter(self, request: str) -> bool:
        """Return once a request may be sent, and if the leader let it in."""
        known = self._known.get(request)
        own = self._own.get(request, 0)
        if known is None and own < suspicion.PERMIT_MIN_ENDS:
            return False
        try:
            if known is not None and known.is_barred(_now()):
                raise _barred(known.barred_until - _now())
            await self._ask(request)
        except errors.HoneyportError as error:
            self._metrics.count('suspects_refused', code=error.code)
            raise
        return True

    def _leave(self, request: str) -> None:
        """Note that a request that the leader let in does not run here."""
        self._tell(
            pb.RouterItem(
                release=pb.PermitRelease(request=bytes.fromhex(request))
            )
        )

    def record_success(self, request: str) -> None:
        """Note that a request ran to a whole and good answer."""
        self._served[request] = _now()
        self._served.move_to_end(request)
        if len(self._served) > _MOST_SERVED:
            self._served.popitem(last=False)
        if request in self._known or request in self._own:
            self._acquit([request])

    def record_end(self, instance: str, requests: frozenset[str]) -> None:
        """Note that an instance ended while requests ran there."""
        end = _End(instance, _now(), requests)
        self._ends.append(end)
        for request in requests:
            if not suspicion.is_cleared(self._served.get(request), end.at):
                self._own[request] = self._own.get(request, 0) + 1
                self._own.move_to_end(request)
        while len(self._own) > _MOST_OWN:
            self._own.popitem(last=False)
        self._send(pb.RouterItem(ends=pb.Ends(ends=[_to_message(end)])))

    # -- what the stream to the leader brings ----------------------------

    def initial_items(self) -> list[pb.RouterItem]:
        """Return what each new leader is told first."""
        items = list(self._unsent)
        self._unsent.clear()
        if self._ends:
            ends = [_to_message(one) for one in self._ends]
            items.insert(0, pb.RouterItem(ends=pb.Ends(ends=ends)))
        return items

    def apply(self, message: pb.Suspects) -> None:
        """Take the requests that are held back in the whole fleet."""
        now = _now()
        self._known = {
            one.request.hex(): _to_suspect(one, now)
            for one in message.suspects
        }
        self._acquit(
            [
                request
                for request, known in self._known.items()
                if suspicion.is_cleared(
                    self._served.get(request), known.first_end_at
                )
            ]
        )

    def resolve_permit(self, answer: pb.PermitAnswer) -> None:
        """Take the leader's word on a request that it was asked about."""
        future = self._asked.get(answer.id)
        if future is not None and not future.done():
            future.set_result(answer)

    async def _ask(self, request: str) -> None:
        """Have the leader let a request in.

        :raises errors.HoneyportError: if it does not
        """
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._asked[number] = future
        ask = pb.PermitRequest(id=number, request=bytes.fromhex(request))
        granted = False
        try:
            if not self._send(pb.RouterItem(permit=ask)):
                raise errors.RequestHeld(
                    'no leader to ask', retry_after=_COME_BACK_S
                )
            answer = await asyncio.wait_for(future, _ANSWER_S)
            if not answer.granted:
                raise _refused(answer)
            granted = True
        except TimeoutError:
            raise errors.RequestHeld(
                'no answer of the leader', retry_after=_COME_BACK_S
            ) from None
        finally:
            del self._asked[number]
            if not granted:
                self._leave(request)  # it may have been let in meanwhile

    def _acquit(self, requests: list[str]) -> None:
        """Tell the leader that requests are harmless."""
        if not requests:
            return
        for request in requests:
            self._known.pop(request, None)
            self._own.pop(request, None)
        named = [bytes.fromhex(request) for request in requests]
        self._tell(pb.RouterItem(acquittal=pb.Acquittal(requests=named)))

    def _tell(self, item: pb.RouterItem) -> None:
        if not self._send(item):
            self._unsent.append(item)


def _to_message(end: _End) -> pb.InstanceEnd:
    return pb.InstanceEnd(
        backend=end.instance,
        requests=[bytes.fromhex(one) for one in sorted(end.requests)],
        age_ms=max(0, int((_now() - end.at) * 1000)),
    )


def _to_suspect(told: pb.Suspect, now: float) -> suspicion.Suspect:
    until = float('-inf')
    if told.barred:
        until = now + told.back_ms / 1000 if told.back_ms else float('inf')
    return suspicion.Suspect(
        request=told.request.hex(),
        ends=told.ends,
        first_end_at=now - told.since_ms / 1000,
        barred_until=until,
    )


def _refused(answer: pb.PermitAnswer) -> errors.HoneyportError:
    back_s = answer.back_ms / 1000 if answer.back_ms else float('inf')
    if answer.barred:
        return _barred(back_s)
    return errors.RequestHeld('another copy of it runs', retry_after=back_s)


def _barred(back_s: float) -> errors.RequestBarred:
    retry_after = None if back_s == float('inf') else back_s
    return errors.RequestBarred(
        'instances ended each time this request ran; it is not run',
        retry_after=retry_after,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
