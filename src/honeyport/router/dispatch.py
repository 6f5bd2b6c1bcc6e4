"""Dispatch of calls to backend servers.

The candidates are ordered by the chat's rendezvous hash, after the backend
server that the caller's placement hint names. The first one below its
concurrency limit gets the call; if all are at their limits, the call queues
at the first one.
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

_MAX_CANDIDATES = 6
_UNTIL_DEADLINE_S = 1e9  # longer than any deadline
_HANDOVER_POLL_S = 0.05
_HANDOVER_TIMEOUT_LEASES = 3  # longest wait for a new owner, in lease periods
_MAX_ATTEMPTS = 5
# Delay before the retry of a call during which several servers crashed, so
# that the reports of the crashes reach all routers: the first probe, a tick of
# the leader, and a round trip.
_SUSPECT_DELAY_S = 0.2

_NEXT_SERVER_ERRORS = (errors.BackendFull, errors.NotSent, errors.NotReady)
# Refusals of a call that may crash the server that runs it.
_SUSPECT_ERRORS = (errors.RequestBarred, errors.RequestHeld)
_INTERRUPTION_ERRORS = (errors.AnswerCut, errors.BackendLost, errors.PeerLost)


class Dispatcher:
    """Sends calls to the owners of backend servers.

    :param admission: runs the calls for the backend servers owned here
    :param links: the links to the other owners
    """

    def __init__(
        self,
        name: str,
        state: fleetstate.FleetState,
        admission: steward.AdmissionController,
        links: relay.PeerLinks,
        counters: metrics.Metrics,
    ) -> None:
        self._name = name
        self._state = state
        self._admission = admission
        self._links = links
        self._metrics = counters
        self._budget = retries.RetryBudget()

    def candidates(self, service: str, chat: str, hint: str) -> list[str]:
        """Return the candidate backend servers for a chat, the best one first.

        :param hint: the backend server that the caller prefers, or ``''``

        :raises errors.UnknownService: if the bundle has no such service
        """
        pool = self._state.pool(service)
        usable = self._state.usable(pool)
        ranked = hashing.rank(chat, usable, _MAX_CANDIDATES)
        if hint in usable:
            ranked = [hint, *(server for server in ranked if server != hint)]
        return ranked

    async def answer(
        self, call: exchange.Call, hint: str = ''
    ) -> exchange.Answer:
        """Send a call to one of its candidates and yield the answer.

        While backend servers change owners, the call is retried for some
        lease periods.

        :raises errors.HoneyportError: if the call was refused or failed
        """
        self._budget.record_request()
        loop = asyncio.get_running_loop()
        handover_deadline = self._handover_deadline(call)
        while True:
            self._state.check_lease()
            try:
                async for frame in self._try_candidates(call, hint):
                    yield frame
                return
            except (errors.NotReady, errors.NotSent) as error:
                if (
                    self._state.lease_left <= 0
                    or loop.time() > handover_deadline
                ):
                    raise errors.Overloaded(
                        error.detail, retry_after=1.0
                    ) from None
            await asyncio.sleep(_HANDOVER_POLL_S)

    async def _try_candidates(
        self, call: exchange.Call, hint: str
    ) -> exchange.Answer:
        servers = self.candidates(call.service, call.chat, hint)
        if not servers:
            raise errors.NotSent(f'no backend server of {call.service} is up')
        attempts = [(server, 0.0) for server in servers] + [
            (servers[0], _UNTIL_DEADLINE_S)
        ]
        if call.is_resumption:
            attempts = [
                (hint or servers[0], _UNTIL_DEADLINE_S)
            ]  # holds the stream
        elif hint == servers[0]:
            # A short wait is faster than computing the prefix again.
            warm_wait_s = self._state.bundle.limits.warm_wait_ms / 1000
            attempts[0] = (hint, warm_wait_s)
        last_error: errors.HoneyportError | None = None
        lost_errors: list[errors.HoneyportError] = []
        for server, patience_s in attempts:
            started = False
            if len(lost_errors) >= suspicion.PERMIT_MIN_ENDS:
                await asyncio.sleep(_SUSPECT_DELAY_S)
            try:
                attempt = attrs.evolve(call, queue_timeout_s=patience_s)
                async for frame in self._answer_resuming(attempt, server):
                    started = True
                    yield frame
                return
            except _NEXT_SERVER_ERRORS as error:
                last_error = error
            except (errors.BackendLost, errors.PeerLost) as error:
                if started or not self._may_retry(call):
                    raise
                last_error = error
                lost_errors.append(error)
            except _SUSPECT_ERRORS:
                if lost_errors:  # an earlier attempt may have run
                    raise lost_errors[-1] from None
                raise
        assert last_error is not None
        raise last_error

    def _may_retry(self, call: exchange.Call) -> bool:
        if not call.repeatable:
            return False
        self._metrics.count('retries')
        return self._budget.try_spend()

    async def _answer_resuming(
        self, call: exchange.Call, backend: str
    ) -> exchange.Answer:
        """Yield an answer; resume an event stream that is interrupted."""
        offset = resume.StreamOffset(max(0, call.resume_after))
        frame_count = byte_count = 0
        is_event_stream = is_head_sent = False
        current = call
        attempt = 1
        handover_deadline = 0.0
        while True:
            is_no_stream = False  # the answer to a resumption
            try:
                async for frame in self._send(current, backend):
                    if isinstance(frame, exchange.Head):
                        if is_head_sent:
                            is_no_stream = not _is_stream(frame)
                            continue
                        is_event_stream = frame.is_event_stream
                        yield frame
                        is_head_sent = True
                    elif is_no_stream:
                        continue
                    elif isinstance(frame, exchange.Data):
                        payload = frame.payload
                        if is_event_stream:
                            payload = offset.strip_received(payload)
                        frame_count += 1
                        byte_count += len(payload)
                        yield exchange.Data(frame_count, payload)
                if is_no_stream:
                    raise errors.AnswerCut(f'{backend} did not resume it')
                yield exchange.End(frame_count, byte_count)
                return
            except _INTERRUPTION_ERRORS as error:
                is_resumable = (
                    is_head_sent and is_event_stream and call.repeatable
                )
                if not is_resumable or attempt == _MAX_ATTEMPTS:
                    raise
                self._record_resume(call, backend, error)
                attempt += 1
                handover_deadline = self._handover_deadline(call)
            except _SUSPECT_ERRORS as error:
                if not is_head_sent:
                    raise
                raise errors.AnswerCut(error.detail) from None
            except _NEXT_SERVER_ERRORS as error:
                if not is_head_sent:
                    raise
                if asyncio.get_running_loop().time() > handover_deadline:
                    raise errors.AnswerCut(error.detail) from None
                await asyncio.sleep(_HANDOVER_POLL_S)
            offset.begin_resume()
            current = attrs.evolve(
                call,
                attempt=call.attempt + attempt - 1,
                resume_after=offset.last_event,
                queue_timeout_s=_UNTIL_DEADLINE_S,
            )

    def _handover_deadline(self, call: exchange.Call) -> float:
        """Return when to give up waiting for a new owner, in loop time."""
        lease_s = self._state.timing.lease_ms / 1000
        loop = asyncio.get_running_loop()
        return min(
            call.deadline, loop.time() + _HANDOVER_TIMEOUT_LEASES * lease_s
        )

    def _record_resume(
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
        """Send a call to the owner of a backend server."""
        owner = self._state.owner(backend)
        answer = self._open_answer(call, backend, owner)
        async with contextlib.aclosing(answer):
            async for frame in answer:
                yield frame

    def _open_answer(
        self, call: exchange.Call, backend: str, owner: str
    ) -> exchange.Answer:
        if owner == self._name:
            self._metrics.count('hops', kind='none')
            return self._admission.answer(call, backend)
        member = self._state.members.get(owner)
        if member is None:
            raise errors.NotReady(f'{backend} has no owner yet')
        self._metrics.count('hops', kind='one')
        return self._links.get(member.peer_address).answer(call, backend)


def _is_stream(head: exchange.Head) -> bool:
    """Whether a stream may go on with an answer."""
    return head.is_success and head.is_event_stream
