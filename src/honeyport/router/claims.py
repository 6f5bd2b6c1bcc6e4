"""At-most-once execution of requests that have an idempotency key.

The router that receives a request claims its key before anything is sent to
a backend server, and records the outcome before the caller gets it. It
reports "not run" only after releasing the claim. If it crashes in between,
the claim stays and the request is not run again.
"""

import asyncio
import contextlib
import hashlib
import itertools
import typing

from honeyport.control import claims
from honeyport import errors
from honeyport import exchange
from honeyport.router import fleetstate
from honeyport.router import session
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

_MAX_CLOCK_SKEW_S = 300.0  # of a key's time ahead of the local clock
_RETRY_AFTER_S = 1.0

Run = typing.Callable[[exchange.Call], exchange.Answer]
_State = pb.ClaimAnswer


class IdempotencyGuard:
    """Claims idempotency keys and records outcomes.

    :param control: the session over which claims are committed
    """

    def __init__(
        self,
        name: str,
        state: fleetstate.FleetState,
        control: session.Session,
    ) -> None:
        self._name = name
        self._fleet_state = state
        self._session = control
        self._claim_numbers = itertools.count(1)
        self._background: set[asyncio.Task[None]] = set()

    async def answer(self, call: exchange.Call, run: Run) -> exchange.Answer:
        """Run a call under a claim of its key, or replay its outcome.

        :param run: sends the call; called at most once
        :raises errors.HoneyportError: if the key cannot be claimed or the call
            failed
        """
        holder = self._holder()
        outcome = await self._claim(call, holder)
        is_recorded = outcome is not None
        if outcome is None:
            outcome = await self._run_shielded(call, holder, run)
        for frame in _replay(outcome, is_recorded):
            yield frame

    async def finish(self) -> None:
        """Wait until pending releases and records are committed."""
        if self._background:
            await asyncio.wait(self._background)

    async def _claim(
        self, call: exchange.Call, holder: str
    ) -> pb.Outcome | None:
        """Claim the key; return the outcome if it is already recorded.

        :raises errors.HoneyportError: if the claim was refused or not
            committed in time
        """
        request = self._claim_request(_Action.CLAIM, call, holder)
        try:
            async with asyncio.timeout(call.remaining_s()):
                answer = await self._session.claim(request)
        except TimeoutError:
            self._release_in_background(call, holder)
            raise errors.ControlUnavailable(
                'the claim was not committed in time',
                retry_after=_RETRY_AFTER_S,
            ) from None
        except asyncio.CancelledError:
            self._release_in_background(call, holder)
            raise
        if answer.state == _State.GRANTED:
            return None
        if answer.state == _State.DONE:
            return pb.Outcome.FromString(answer.outcome)
        raise _claim_error(answer.state, call.key)

    async def _run_shielded(
        self, call: exchange.Call, holder: str, run: Run
    ) -> pb.Outcome:
        """Run a claimed call, to its end even if the caller disconnects."""
        task = asyncio.create_task(self._run_claimed(call, holder, run))
        self._background.add(typing.cast(typing.Any, task))
        task.add_done_callback(self._background.discard)
        task.add_done_callback(_consume_exception)
        return await asyncio.shield(task)

    async def _run_claimed(
        self, call: exchange.Call, holder: str, run: Run
    ) -> pb.Outcome:
        try:
            outcome = await self._collect(run(call))
        except errors.HoneyportError as error:
            if error.ran is False:
                await self._send_action(_Action.RELEASE, call, holder)
                error.settled = True
            elif isinstance(error, errors.AnswerTooLarge):
                await self._record(call, holder, _too_large_outcome(error))
            else:
                logs.emit(
                    events.CLAIM_UNRESOLVED, key=call.key, code=error.code
                )
                await self._send_action(_Action.ABANDON, call, holder)
                raise errors.MayHaveRun(error.detail) from error
            raise
        await self._record(call, holder, outcome)
        return outcome

    async def _collect(self, answer: exchange.Answer) -> pb.Outcome:
        outcome = pb.Outcome()
        body = bytearray()
        max_bytes = self._fleet_state.bundle.limits.answer_bytes
        async with contextlib.aclosing(answer):
            async for frame in answer:
                if isinstance(frame, exchange.Head):
                    outcome.status = frame.status
                    outcome.backend = frame.backend
                    for name, value in frame.headers:
                        outcome.headers.add(name=name, value=value)
                elif isinstance(frame, exchange.Data):
                    body += frame.payload
                if len(body) > max_bytes:
                    raise errors.AnswerTooLarge()
        outcome.body = bytes(body)
        return outcome

    async def _record(
        self, call: exchange.Call, holder: str, outcome: pb.Outcome
    ) -> None:
        await self._send_action(
            _Action.RECORD, call, holder, outcome.SerializeToString()
        )

    async def _send_action(
        self,
        action: 'pb.ClaimRequest.Action',
        call: exchange.Call,
        holder: str,
        outcome: bytes = b'',
    ) -> None:
        request = self._claim_request(action, call, holder)
        request.outcome = outcome
        await self._session.claim(request)

    def _release_in_background(self, call: exchange.Call, holder: str) -> None:
        """Release a claim that may still be committed."""
        task = asyncio.create_task(
            self._send_action(_Action.RELEASE, call, holder)
        )
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _claim_request(
        self,
        action: 'pb.ClaimRequest.Action',
        call: exchange.Call,
        holder: str,
    ) -> pb.ClaimRequest:
        return pb.ClaimRequest(
            action=action,
            key=call.key,
            digest=_digest(call),
            holder=holder,
            retention_s=self._fleet_state.timing.claim_retention_s,
        )

    def _holder(self) -> str:
        number = next(self._claim_numbers)
        return f'{self._name}/{self._session.incarnation}/{number}'


def check_key(key: str, now_s: float) -> None:
    """Check an idempotency key.

    :param now_s: the current Unix time in seconds
    :raises errors.KeyInvalid: if it is not a UUIDv7, or its time is too far in
        the future
    """
    issued_s = claims.issue_time_s(key)
    if issued_s is None:
        raise errors.KeyInvalid(f'{key!r} is not a UUIDv7')
    if issued_s > now_s + _MAX_CLOCK_SKEW_S:
        raise errors.KeyInvalid(f'the time of {key!r} is in the future')


def _digest(call: exchange.Call) -> str:
    """Return a digest that differs for another request with the same key."""
    text = f'{call.account}\n{call.method}\n{call.service}\n{call.path}\n'
    return hashlib.sha256(text.encode() + call.body).hexdigest()[:32]


def _claim_error(
    state: 'pb.ClaimAnswer.State', key: str
) -> errors.HoneyportError:
    if state == _State.RUNNING:
        return errors.StillRunning(retry_after=_RETRY_AFTER_S)
    if state == _State.MISMATCH:
        error = errors.KeyReused()
        error.settled = True
        return error
    if state == _State.EXPIRED:
        return errors.KeyExpired()
    return errors.MayHaveRun(f'the router that claimed {key} has ended')


def _too_large_outcome(error: errors.AnswerTooLarge) -> pb.Outcome:
    return pb.Outcome(status=error.status, body=error.detail.encode())


def _replay(
    outcome: pb.Outcome, is_recorded: bool
) -> typing.Iterator[exchange.Frame]:
    headers = tuple((header.name, header.value) for header in outcome.headers)
    yield exchange.Head(outcome.status, headers, outcome.backend, is_recorded)
    if outcome.body:
        yield exchange.Data(1, outcome.body)
    yield exchange.End(1 if outcome.body else 0, len(outcome.body))


def _consume_exception(task: asyncio.Task[typing.Any]) -> None:
    if not task.cancelled():
        task.exception()


_Action = pb.ClaimRequest
