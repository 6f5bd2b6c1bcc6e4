"""From a call to the backend server that answers it.

Candidates come in the order of the chat's rendezvous hash, after the one
that the caller's placement hint names. The first one with room under the
bound takes the call; if none has, the call queues at the first.
"""

import asyncio
import contextlib

import attrs

from honeyport import errors
from honeyport import exchange
from honeyport.policy import hashing
from honeyport.policy import retries
from honeyport.policy import suspicion
from honeyport.router import fleetstate
from honeyport.router import relay
from honeyport.router import resume
from honeyport.router import steward
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

_CANDIDATES = 6
_FOREVER_S = 1e9  # that is, until the deadline
_HANDOVER_PAUSE_S = 0.05
_HANDOVER_LEASES = 3  # longest wait for a new steward
_RESUMES = 5
# A call under which several servers ended waits so long before the next one
# gets it, in seconds: by then the fleet knows of their ends (0.05 until they
# are probed, 0.05 until the leader tells, and a round trip).
_VERDICT_S = 0.2

_ELSEWHERE = (errors.BackendFull, errors.NotSent, errors.NotReady)
# Refusals of a call that may end the server that runs it.
_HELD = (errors.RequestBarred, errors.RequestHeld)
_CUT = (errors.AnswerCut, errors.BackendLost, errors.PeerLost)


class Dispatcher:
    """Sends calls on, here or over a hop."""

    def __init__(
        self,
        name: str,
        state: fleetstate.FleetState,
        local: steward.AdmissionController,
        links: relay.PeerLinks,
        counters: metrics.Metrics,
    ) -> None:
        self._name = name
        self._state = state
        self._steward = local
        self._links = links
        self._metrics = counters
        self._budget = retries.RetryBudget()

    def candidates(self, service: str, chat: str, hint: str) -> list[str]:
        """Return the backend servers for a chat, the best one first.

        :raises errors.UnknownService: if the bundle has no such service
        """
        pool = self._state.pool(service)
        usable = self._state.usable(pool)
        ranked = hashing.rank(chat, usable, _CANDIDATES)
        if hint in usable:
            ranked = [hint, *(name for name in ranked if name != hint)]
        return ranked

    async def answer(
        self, call: exchange.Call, hint: str = ''
    ) -> exchange.Answer:
        """Yield the answer of whichever backend server takes the call."""
        self._budget.record_request()
        loop = asyncio.get_running_loop()
        until = self._handover_until(call)
        while True:
            self._state.check_lease()
            try:
                async for frame in self._try_all(call, hint):
                    yield frame
                return
            except (errors.NotReady, errors.NotSent) as error:
                if self._state.lease_left <= 0 or loop.time() > until:
                    raise errors.Overloaded(
                        error.detail, retry_after=1.0
                    ) from None
            await asyncio.sleep(_HANDOVER_PAUSE_S)

    async def _try_all(
        self, call: exchange.Call, hint: str
    ) -> exchange.Answer:
        names = self.candidates(call.service, call.chat, hint)
        if not names:
            raise errors.NotSent(f'no backend server of {call.service} is up')
        plan = [(name, 0.0) for name in names] + [(names[0], _FOREVER_S)]
        if call.resumes:
            plan = [(hint or names[0], _FOREVER_S)]  # only it has the stream
        elif hint == names[0]:
            # Its prefix is there: a short wait costs less than a miss.
            warm_s = self._state.bundle.limits.warm_wait_ms / 1000
            plan[0] = (hint, warm_s)
        problem: errors.HoneyportError | None = None
        lost: list[errors.HoneyportError] = []
        for name, patience_s in plan:
            started = False
            if len(lost) >= suspicion.PERMIT_MIN_ENDS:
                await asyncio.sleep(_VERDICT_S)
            try:
                attempt = attrs.evolve(call, patience_s=patience_s)
                async for frame in self._whole(attempt, name):
                    started = True
                    yield frame
                return
            except _ELSEWHERE as error:
                problem = error
            except (errors.BackendLost, errors.PeerLost) as error:
                if started or not self._may_repeat(call):
                    raise
                problem = error
                lost.append(error)
            except _HELD:
                if lost:  # "not run" is true of the last try alone
                    raise lost[-1] from None
                raise
        assert problem is not None
        raise problem

    def _may_repeat(self, call: exchange.Call) -> bool:
        if not call.repeatable:
            return False
        self._metrics.count('retries')
        return self._budget.try_spend()

    async def _whole(
        self, call: exchange.Call, backend: str
    ) -> exchange.Answer:
        """Yield an answer; resume a stream of events that is cut."""
        offset = resume.StreamOffset(max(0, call.resume_after))
        number = length = 0
        streamed = headed = False
        current = call
        attempt = 1
        until = 0.0
        while True:
            try:
                async for frame in self._send(current, backend):
                    if isinstance(frame, exchange.Head):
                        streamed = frame.is_event_stream
                        if not headed:
                            yield frame
                        headed = True
                    elif isinstance(frame, exchange.Data):
                        payload = frame.payload
                        if streamed:
                            payload = offset.strip_received(payload)
                        number += 1
                        length += len(payload)
                        yield exchange.Data(number, payload)
                yield exchange.End(number, length)
                return
            except _CUT as error:
                resumable = headed and streamed and call.repeatable
                if not resumable or attempt == _RESUMES:
                    raise
                self._note_cut(call, backend, error)
                attempt += 1
                until = self._handover_until(call)
            except _HELD as error:
                if not headed:
                    raise
                raise errors.AnswerCut(error.detail) from None
            except _ELSEWHERE as error:
                if not headed:
                    raise
                if asyncio.get_running_loop().time() > until:
                    raise errors.AnswerCut(error.detail) from None
                await asyncio.sleep(_HANDOVER_PAUSE_S)
            offset.begin_resume()
            current = attrs.evolve(
                call,
                attempt=call.attempt + attempt - 1,
                resume_after=offset.last_event,
                patience_s=_FOREVER_S,
            )

    def _handover_until(self, call: exchange.Call) -> float:
        """Return until when to wait for a new steward, in loop time."""
        lease_s = self._state.timing.lease_ms / 1000
        loop = asyncio.get_running_loop()
        return min(call.deadline, loop.time() + _HANDOVER_LEASES * lease_s)

    def _note_cut(
        self,
        call: exchange.Call,
        backend: str,
        error: errors.HoneyportError,
    ) -> None:
        self._metrics.count('resumed')
        logs.emit(
            events.ANSWER_RESUMED,
            request=call.request_id,
            backend=backend,
            cause=error.code,
        )

    async def _send(
        self, call: exchange.Call, backend: str
    ) -> exchange.Answer:
        """Send a call to the steward of a backend server."""
        name = self._state.owner(backend)
        answer = self._route(call, backend, name)
        async with contextlib.aclosing(answer):
            async for frame in answer:
                yield frame

    def _route(
        self, call: exchange.Call, backend: str, name: str
    ) -> exchange.Answer:
        if name == self._name:
            self._metrics.count('hops', kind='none')
            return self._steward.answer(call, backend)
        member = self._state.members.get(name)
        if member is None:
            raise errors.NotReady(f'nobody stewards {backend} yet')
        self._metrics.count('hops', kind='one')
        return self._links.get(member.peer_address).answer(call, backend)
