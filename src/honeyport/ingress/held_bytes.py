"""The account of the bytes that are held for callers and instances."""

import asyncio
import collections
import collections.abc
import contextlib
import math
import typing

from honeyport import errors
from honeyport.policy import held_bytes
from honeyport.policy import incoming
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.telemetry import sampling

# Parts of a request that take memory.
REQUEST = 'request'  # its body
ANSWER = 'answer'  # what was collected of a whole answer
EVENT = 'event'  # the start of an incomplete event
UNSENT = 'unsent'  # what was written, but not taken by the caller
_RESPONSE_PARTS = (ANSWER, EVENT)
# Interval at which callers are checked for progress.
_CHECK_INTERVAL_S = 0.5


# Closes the connection from which a response is read, for a reason.
CutOff = collections.abc.Callable[[str], None]


class Reader(typing.Protocol):
    """A caller that is sent bytes."""

    @property
    def request_id(self) -> str:
        """Id of its request."""

    @property
    def sent_bytes(self) -> int:
        """Bytes that it has taken, since its connection was opened."""

    def cut_off(self) -> None:
        """Close its connection."""


class Sender(typing.Protocol):
    """A client that sends the body of a request."""

    @property
    def request_id(self) -> str:
        """Id of its request."""

    @property
    def peer(self) -> str:
        """IP address of the client."""

    @property
    def holding(self) -> 'Holding':
        """The bytes that are held for its request."""

    def refuse(self, error: errors.HoneyportError) -> None:
        """Refuse its request, and hold nothing of it any more."""


class Holding:
    """The bytes that are held for one request."""

    def __init__(self, account: 'HeldBytes') -> None:
        self._account = account
        self._parts: collections.Counter[str] = collections.Counter()
        self._cut_off: CutOff | None = None

    @property
    def response_bytes(self) -> int:
        """Bytes of the response that is read; 0 if none is."""
        if self._cut_off is None:
            return 0
        return sum(self._parts[part] for part in _RESPONSE_PARTS)

    @property
    def total(self) -> int:
        """All bytes of the request."""
        return self._parts.total()

    def set_cut_off(self, cut_off: CutOff | None) -> None:
        """Set how to cut off the response that is read; ``None`` if none is.

        Parts of an earlier response are discarded.
        """
        counted = self.response_bytes
        self._cut_off = None
        self._account.change_response(self, -counted)
        if cut_off is not None:
            self._release(_RESPONSE_PARTS)
        self._cut_off = cut_off

    def cut_off(self, reason: str) -> None:
        """Cut off the response that is read."""
        cut_off = self._cut_off
        if cut_off is not None:
            cut_off(reason)
            self.set_cut_off(None)
            self._release(_RESPONSE_PARTS)

    def update(self, part: str, held: int) -> None:
        """Set the number of bytes of one part."""
        change = held - self._parts[part]
        if not change:
            return
        self._parts[part] = held
        self._account.change(change)
        if part in _RESPONSE_PARTS and self._cut_off is not None:
            self._account.change_response(self, change)

    def passes_on_unfinished(self, answer_bytes: int) -> bool:
        """Whether an answer is passed on before it is complete."""
        return self._account.passes_on_unfinished(answer_bytes)

    def release(self) -> None:
        """Release all bytes."""
        self.set_cut_off(None)
        self._release(self._parts)

    def _release(self, parts: collections.abc.Iterable[str]) -> None:
        for part in parts:
            self.update(part, 0)


class HeldBytes:
    """Counts what is held, and cuts off callers that read nothing.

    :param max_bytes: that should be held at most; ``inf`` for no limit
    :param responses_max_bytes: that responses may take while they are read,
        all together; ``inf`` for no limit
    :param name: of the account, for its metrics
    """

    def __init__(
        self,
        max_bytes: float,
        counters: metrics.Metrics,
        responses_max_bytes: float = math.inf,
        name: str = 'held_bytes',
    ) -> None:
        self._responses_max_bytes = responses_max_bytes
        self._responses_total = 0
        self._responses: set[Holding] = set()
        self._limits = held_bytes.Limits(max_bytes)
        self._rate = held_bytes.create_release_rate()
        self._metrics = counters
        self._total = 0
        # Caller to its request's holding, the bytes that it had taken, and
        # when it last took any.
        self._reading: dict[Reader, tuple[Holding, int, float]] = {}
        self._bodies: dict[Sender, incoming.Body] = {}
        self._sampler = sampling.Sampler()
        counters.gauge(name, lambda: self._total)
        counters.gauge(f'{name}_max', lambda: max_bytes)

    @property
    def total(self) -> int:
        """All bytes that are held."""
        return self._total

    def change(self, change: int) -> None:
        """Count bytes that are held, or are not any more."""
        self._total += change
        if change < 0:
            now = asyncio.get_running_loop().time()
            self._rate.record(now, -change)

    def change_response(self, holding: Holding, change: int) -> None:
        """Count bytes of a response that is read.

        The largest response is cut off if all together take too much.
        """
        self._responses_total += change
        if holding.response_bytes:
            self._responses.add(holding)
        else:
            self._responses.discard(holding)
        if self._responses_total > self._responses_max_bytes:
            largest = max(
                self._responses, key=lambda response: response.response_bytes
            )
            self._metrics.count('responses_cut_off')
            largest.cut_off(
                f'{largest.response_bytes} bytes of this response are held, '
                f'and {self._responses_total} of all'
            )

    def start_body(
        self, sender: Sender, announced: int, now: float, deadline: float
    ) -> None:
        """Record that a body is received from now on.

        :param announced: its length in bytes; 0 if it is not known
        :param deadline: loop time after which its request is refused
        """
        self._bodies[sender] = incoming.Body(sender, announced, now, deadline)

    def limit_body_time(self, sender: Sender, timeout_s: float) -> None:
        """Limit the time that a body may take from its start."""
        body = self._bodies[sender]
        body.deadline = min(body.deadline, body.started_at + timeout_s)

    def record_body(self, sender: Sender, received: int) -> None:
        """Record how much of a body has been received."""
        now = asyncio.get_running_loop().time()
        self._bodies[sender].record(received, now)

    def end_body(self, sender: Sender) -> None:
        """Record that a body is whole, or that it was given up."""
        self._bodies.pop(sender, None)

    def check_body(self, body_bytes: int, holding: Holding) -> None:
        """Check that there is room for a body that was not read yet.

        Bodies that stand still make room for it.

        :param holding: counts what has been read of it
        :raises errors.Overloaded: if there is no room
        """
        if self._admits(body_bytes, holding):
            return
        now = asyncio.get_running_loop().time()
        held = self._total - holding.total
        others = [
            body
            for sender, body in self._bodies.items()
            if sender.holding is not holding
        ]
        needed = self._limits.excess(held, body_bytes)
        self._give_up(
            incoming.select_evicted(others, needed, now), 'stalled', now
        )
        if self._admits(body_bytes, holding):
            return
        back_s = self._limits.back_s(held, self._rate.per_second(now))
        raise errors.Overloaded(
            f'no memory for a body of {body_bytes} bytes: {self._total} are '
            'held',
            retry_after=back_s,
        )

    def _admits(self, body_bytes: int, holding: Holding) -> bool:
        return self._limits.admits(self._total - holding.total, body_bytes)

    def count_refused(
        self, sender: Sender, error: errors.HoneyportError
    ) -> None:
        """Count and log a request that was refused before its body."""
        self._metrics.count('bodies_refused', code=error.code)
        self._sampler.emit(
            events.BODY_REFUSED,
            asyncio.get_running_loop().time(),
            request=sender.request_id,
            peer=sender.peer,
            code=error.code,
            detail=error.detail,
            held_bytes=self._total,
        )

    def _give_up(
        self,
        bodies: collections.abc.Sequence[incoming.Body],
        reason: str,
        now: float,
    ) -> None:
        """Refuse requests whose bodies are incomplete."""
        if not bodies:
            return
        held = self._total
        senders = [typing.cast(Sender, body.key) for body in bodies]
        for sender in senders:
            sender.refuse(errors.BodyIncomplete())
        self._metrics.count('bodies_given_up', len(bodies), reason=reason)
        self._sampler.emit(
            events.BODIES_GIVEN_UP,
            now,
            reason=reason,
            bodies=len(bodies),
            peer=senders[0].peer,
            request=senders[0].request_id,
            freed_bytes=held - self._total,
            held_bytes=self._total,
        )

    def passes_on_unfinished(self, answer_bytes: int) -> bool:
        """Whether an answer is passed on before it is complete."""
        return self._limits.passes_on_unfinished(self._total, answer_bytes)

    @contextlib.contextmanager
    def watch(
        self, reader: Reader, holding: Holding
    ) -> collections.abc.Iterator[None]:
        """Watch a caller for progress while it is sent bytes."""
        now = asyncio.get_running_loop().time()
        self._reading[reader] = (holding, reader.sent_bytes, now)
        try:
            yield
        finally:
            del self._reading[reader]

    async def run(self) -> None:
        """Cut off callers that make no progress, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            self.cut_off_stalled(now)
            late = incoming.select_late(self._bodies.values(), now)
            self._give_up(late, 'late', now)

    def cut_off_stalled(self, now: float) -> None:
        """Cut off callers that have read nothing for too long."""
        for reader, (holding, sent_bytes, _) in self._reading.items():
            if reader.sent_bytes != sent_bytes:
                self._reading[reader] = (holding, reader.sent_bytes, now)
        waiting = [
            held_bytes.Stalled(reader, progress_at, holding.total)
            for reader, (holding, _, progress_at) in self._reading.items()
        ]
        for stalled in self._limits.select_stalled(waiting, self._total, now):
            reader = typing.cast(Reader, stalled.key)
            logs.emit(
                events.CALLER_CUT_OFF,
                request=reader.request_id,
                stalled_s=round(now - stalled.progress_at, 1),
                request_bytes=stalled.held,
                held_bytes=self._total,
            )
            self._metrics.count('callers_cut_off')
            reader.cut_off()
