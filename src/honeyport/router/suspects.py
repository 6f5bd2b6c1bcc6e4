"""Tracking of requests under which instances crashed.

A router reports each crash that it detects to the leader, receives the list of
suspect requests of the whole fleet, and gets a permit from the leader before
it sends one of them. A suspect is one request, or all that have certain parts
in their prompts. The decisions are in :mod:`honeyport.policy.suspicion` and
:mod:`honeyport.policy.part_suspicion`.
"""

import asyncio
import collections
import collections.abc
import contextlib
import functools
import itertools

import attrs

from honeyport import errors
from honeyport.policy import suspicion
from honeyport.policy import traits
from honeyport.router import part_answers
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import prompt_parts

# After this time the request is refused, since another router may be running
# it. It covers a round trip between regions and two ticks of the leader.
_PERMIT_TIMEOUT_S = 0.5
# After a refusal without an answer of the leader: until there is a leader
# again.
_RETRY_AFTER_S = 1.0
# How long a request with parts under suspicion waits for the leader to decide
# about a crash, before it is sent to another instance.
_DECISION_TIMEOUT_S = 0.4
# Crashes that are reported again to each new leader, and the requests in them.
_MAX_REPORTED_ENDS = 64
_MAX_PARTS_PER_END = 1024  # in the prompts of all its requests
_MAX_LOCAL_SUSPECTS = 2048
_MAX_SUCCESSES = 1024  # requests that were answered successfully
_MAX_UNSENT_ITEMS = 64  # messages kept while no stream to a leader is open

CallWhenFinished = collections.abc.Callable[
    [collections.abc.Callable[[], None]], None
]
Send = collections.abc.Callable[[pb.RouterItem], bool]


@attrs.frozen
class _End:
    """The crash of an instance.

    :ivar at: loop time of the crash
    :ivar requests: the fingerprints of the requests that ran there
    :ivar prompts: those of these requests that have prompt parts
    """

    instance: str
    at: float
    requests: frozenset[str]
    prompts: list[traits.Traits]


class SuspectTracker:
    """The suspect requests that the leader sent or this router observed."""

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self._send: Send = lambda item: False
        self._listeners: list[collections.abc.Callable[[], None]] = []
        self._fleet_suspects: dict[str, suspicion.Suspect] = {}
        # Those that are sets of requests, by one of their parts.
        self._part_sets: dict[part_answers.Key, list[suspicion.Suspect]] = {}
        self._part_answers = part_answers.PartAnswers(
            lambda item: self._send(item)
        )
        # Whether the leader has answered the latest report of a crash.
        self._applied = asyncio.Event()
        self._applied.set()
        self._ends: collections.deque[_End] = collections.deque(
            maxlen=_MAX_REPORTED_ENDS
        )
        self._local_end_counts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._succeeded_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._unsent_items: collections.deque[pb.RouterItem] = (
            collections.deque(maxlen=_MAX_UNSENT_ITEMS)
        )
        self._permit_numbers = itertools.count(1)
        self._pending_permits: dict[int, asyncio.Future[pb.PermitAnswer]] = {}
        counters.gauge('suspects_known', lambda: self.count)
        counters.gauge('part_answers_kept', lambda: self.part_answer_count)

    @property
    def count(self) -> int:
        """The number of suspect requests in the whole fleet."""
        return len(self._fleet_suspects)

    @property
    def part_answer_count(self) -> int:
        """The number of prompt parts whose latest answer is kept."""
        return len(self._part_answers)

    def set_sender(self, send: Send) -> None:
        """Set the function that sends an item to the leader.

        :param send: returns whether a stream to the leader is open
        """
        self._send = send

    def add_listener(
        self, listener: collections.abc.Callable[[], None]
    ) -> None:
        """Add a function to call when the fleet's suspects have changed."""
        self._listeners.append(listener)

    # -- called while requests are served --------------------------------

    @contextlib.asynccontextmanager
    async def admit(
        self, request: traits.Traits, call_when_finished: CallWhenFinished
    ) -> collections.abc.AsyncIterator[bool]:
        """Enter a context to run a request; a suspect needs a permit.

        The leader gives one permit for a suspect at a time. The context's
        value is whether the request has one.

        :param call_when_finished: calls a function once it is known whether
            the instance survived the request
        :raises errors.RequestBarred: if too many instances crashed under it
        :raises errors.RequestHeld: if no permit was given
        """
        permits: list[str] = []
        try:
            await self._acquire_permits(request, permits)
            yield bool(permits)
        finally:
            for suspect in permits:
                call_when_finished(
                    functools.partial(self._release_permit, suspect)
                )

    def check_not_barred(self, request: traits.Traits) -> None:
        """Check that a request may be sent with a permit.

        :raises errors.RequestBarred: if it may not
        """
        now = _now()
        for suspect in self._suspects_of(request):
            if suspect.is_barred(now):
                self._metrics.count(
                    'suspects_refused', code=errors.RequestBarred.code
                )
                raise _barred_error(
                    suspect.barred_until - now, suspect.part_set
                )

    def needs_permit(self, request: traits.Traits) -> bool:
        """Whether a request may be sent only with a permit."""
        return bool(self._find_permits(request))

    def is_withdrawn(self, request: traits.Traits) -> bool:
        """Whether a request is withdrawn if an instance has it."""
        now = _now()
        return any(
            suspect.is_withdrawn(now) for suspect in self._suspects_of(request)
        )

    async def wait_decided(self) -> None:
        """Wait until the leader may have decided about the latest crash."""
        try:
            async with asyncio.timeout(_DECISION_TIMEOUT_S):
                await self._applied.wait()
        except TimeoutError:  # nothing has changed
            self._applied.set()

    def is_under_suspicion(self, request: traits.Traits) -> bool:
        """Whether the leader considers or bars a part of a request."""
        return self._part_answers.is_watched(request)

    def _suspects_of(self, request: traits.Traits) -> list[suspicion.Suspect]:
        """Return the suspects of the whole fleet that a request belongs to."""
        found = []
        suspect = self._fleet_suspects.get(request.fingerprint)
        if suspect is not None:
            found.append(suspect)
        if self._part_sets:
            for part in dict.fromkeys(request.parts):
                found += [
                    suspect
                    for suspect in self._part_sets.get(
                        (request.service, part), ()
                    )
                    if suspect.part_set.matches(request)
                ]
        return found

    def _find_permits(self, request: traits.Traits) -> list[str]:
        """Return the suspects for which a request needs a permit."""
        suspects = [suspect.request for suspect in self._suspects_of(request)]
        local_ends = self._local_end_counts.get(request.fingerprint, 0)
        if (
            local_ends >= suspicion.PERMIT_MIN_ENDS
            and request.fingerprint not in suspects
        ):
            suspects.append(request.fingerprint)
        return suspects

    async def _acquire_permits(
        self, request: traits.Traits, permits: list[str]
    ) -> None:
        """Get the permits that a request needs.

        :param permits: those that were given are added to it
        """
        self.check_not_barred(request)
        for suspect in self._find_permits(request):
            try:
                await self._request_permit(suspect)
            except errors.HoneyportError as error:
                self._metrics.count('suspects_refused', code=error.code)
                raise
            permits.append(suspect)

    def _release_permit(self, request: str) -> None:
        """Give a request's permit back to the leader."""
        self._send_or_queue(
            pb.RouterItem(
                release=pb.PermitRelease(request=bytes.fromhex(request))
            )
        )

    def record_success(self, request: traits.Traits, began_at: float) -> None:
        """Record that a request got a complete and successful answer.

        :param began_at: loop time at which it was sent
        """
        self._part_answers.record(request, began_at)
        fingerprint = request.fingerprint
        self._succeeded_at[fingerprint] = _now()
        self._succeeded_at.move_to_end(fingerprint)
        if len(self._succeeded_at) > _MAX_SUCCESSES:
            self._succeeded_at.popitem(last=False)
        if (
            fingerprint in self._fleet_suspects
            or fingerprint in self._local_end_counts
        ):
            self._clear([fingerprint])

    def record_end(
        self, instance: str, requests: frozenset[traits.Traits], at: float
    ) -> None:
        """Record that an instance crashed while requests ran there.

        :param at: loop time of the crash
        """
        fingerprints = frozenset(request.fingerprint for request in requests)
        prompts = traits.take_with_parts(requests, _MAX_PARTS_PER_END)
        end = _End(instance, at, fingerprints, prompts)
        self._ends.append(end)
        for request in fingerprints:
            if not suspicion.is_cleared(
                self._succeeded_at.get(request), end.at
            ):
                self._local_end_counts[request] = (
                    self._local_end_counts.get(request, 0) + 1
                )
                self._local_end_counts.move_to_end(request)
        while len(self._local_end_counts) > _MAX_LOCAL_SUSPECTS:
            self._local_end_counts.popitem(last=False)
        self._applied.clear()
        self._send(pb.RouterItem(ends=pb.Ends(ends=[_to_message(end)])))

    # -- called by the session with the leader ---------------------------

    def initial_items(self) -> list[pb.RouterItem]:
        """Return the items to send first on a new stream to a leader."""
        items = list(self._unsent_items)
        self._unsent_items.clear()
        # The leader of this stream asks for itself.
        self._part_answers.watch(())
        if self._ends:
            ends = [_to_message(end) for end in self._ends]
            items.insert(0, pb.RouterItem(ends=pb.Ends(ends=ends)))
        return items

    def apply(self, message: pb.Suspects) -> None:
        """Replace the list of suspect requests of the whole fleet."""
        now = _now()
        self._fleet_suspects = {
            listed.request.hex(): _to_suspect(listed, now)
            for listed in message.suspects
        }
        self._apply_parts(message)
        self._applied.set()
        self._clear(
            [
                request
                for request, suspect in self._fleet_suspects.items()
                if suspicion.is_cleared(
                    self._succeeded_at.get(request), suspect.first_end_at
                )
            ]
        )
        for listener in self._listeners:
            listener()

    def _apply_parts(self, message: pb.Suspects) -> None:
        """Apply the sets of suspects, and the parts to report answers with."""
        self._part_sets = {}
        watched = {
            (candidate.service, candidate.part)
            for candidate in message.candidates
        }
        for suspect in self._fleet_suspects.values():
            if suspect.part_set is None:
                continue
            service, parts = suspect.part_set.service, suspect.part_set.parts
            watched |= {(service, part) for part in parts}
            self._part_sets.setdefault((service, parts[0]), []).append(suspect)
        self._part_answers.watch(watched)

    def close(self) -> None:
        """Report nothing more."""
        self._part_answers.close()

    def resolve_permit(self, answer: pb.PermitAnswer) -> None:
        """Apply the leader's answer to a request for a permit."""
        future = self._pending_permits.get(answer.id)
        if future is not None and not future.done():
            future.set_result(answer)

    async def _request_permit(self, request: str) -> None:
        """Get a permit for a request from the leader.

        :raises errors.RequestBarred: if too many instances crashed under it
        :raises errors.RequestHeld: if no permit was given
        """
        number = next(self._permit_numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending_permits[number] = future
        permit_request = pb.PermitRequest(
            id=number, request=bytes.fromhex(request)
        )
        is_answered = False
        try:
            if not self._send(pb.RouterItem(permit=permit_request)):
                raise errors.RequestHeld(
                    'no stream to a leader is open', retry_after=_RETRY_AFTER_S
                )
            async with asyncio.timeout(_PERMIT_TIMEOUT_S):
                answer = await future
            is_answered = True
            if not answer.granted:
                raise _refusal_error(answer)
        except TimeoutError:
            raise errors.RequestHeld(
                'the leader did not answer in time', retry_after=_RETRY_AFTER_S
            ) from None
        finally:
            del self._pending_permits[number]
            if not is_answered:
                # The leader may have granted it with an answer that was late.
                # After a refusal, another request here may have the permit.
                self._release_permit(request)

    def _clear(self, requests: list[str]) -> None:
        """Drop requests and report to the leader that they are harmless."""
        if not requests:
            return
        for request in requests:
            self._fleet_suspects.pop(request, None)
            self._local_end_counts.pop(request, None)
        fingerprints = [bytes.fromhex(request) for request in requests]
        self._send_or_queue(
            pb.RouterItem(acquittal=pb.Acquittal(requests=fingerprints))
        )

    def _send_or_queue(self, item: pb.RouterItem) -> None:
        if not self._send(item):
            self._unsent_items.append(item)


def _to_message(end: _End) -> pb.InstanceEnd:
    return pb.InstanceEnd(
        backend=end.instance,
        requests=[bytes.fromhex(request) for request in sorted(end.requests)],
        age_ms=max(0, int((_now() - end.at) * 1000)),
        prompts=prompt_parts.to_prompts(end.prompts),
    )


def _to_suspect(message: pb.Suspect, now: float) -> suspicion.Suspect:
    barred_until = float('-inf')
    if message.barred:
        barred_until = (
            now + message.back_ms / 1000 if message.back_ms else float('inf')
        )
    return suspicion.Suspect(
        request=message.request.hex(),
        ends=message.ends,
        first_end_at=now - message.since_ms / 1000,
        barred_until=barred_until,
        part_set=prompt_parts.part_set_of(message),
        is_unanswered=message.unanswered,
    )


def _refusal_error(answer: pb.PermitAnswer) -> errors.HoneyportError:
    retry_after_s = answer.back_ms / 1000 if answer.back_ms else float('inf')
    if answer.barred:
        return _barred_error(retry_after_s)
    return errors.RequestHeld(
        'another request like this is running', retry_after=retry_after_s
    )


def _barred_error(
    retry_after_s: float, part_set: traits.PartSet | None = None
) -> errors.RequestBarred:
    retry_after = None if retry_after_s == float('inf') else retry_after_s
    subject = 'this request'
    if part_set is not None:
        subject = f'requests with the prompt parts {part_set}'
    return errors.RequestBarred(
        f'refused: several instances crashed while {subject} ran',
        retry_after=retry_after,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
