"""Running a non-repeatable request at most once.

The instance that takes a request from its caller claims the key before
anything is sent to a backend server, and records the outcome before the
caller gets it. It says "not run" only after giving the claim back. If it
dies in between, the claim stays, and nobody runs the request again.
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

_FUTURE_S = 300.0  # a key may be this far ahead of our clock
_AGAIN_S = 1.0

Run = typing.Callable[[exchange.Call], exchange.Answer]
_State = pb.ClaimAnswer


class IdempotencyGuard:
    """Claims keys and records outcomes."""

    def __init__(
        self,
        name: str,
        state: fleetstate.FleetState,
        control: session.Session,
    ) -> None:
        self._name = name
        self._state = state
        self._session = control
        self._numbers = itertools.count(1)
        self._background: set[asyncio.Task[None]] = set()

    async def answer(self, call: exchange.Call, run: Run) -> exchange.Answer:
        """Run a call under its claim, or give the recorded outcome.

        :param run: sends the call; asked for at most once
        """
        holder = self._holder()
        outcome = await self._claim(call, holder)
        recorded = outcome is not None
        if outcome is None:
            outcome = await self._run(call, holder, run)
        for frame in _replay(outcome, recorded):
            yield frame

    async def finish(self) -> None:
        """Wait for claims that are being given back or recorded."""
        if self._background:
            await asyncio.wait(self._background)

    async def _claim(
        self, call: exchange.Call, holder: str
    ) -> pb.Outcome | None:
        """Get the claim, or the outcome of the run that had it."""
        request = self._request(_action.CLAIM, call, holder)
        try:
            async with asyncio.timeout(call.left()):
                answer = await self._session.claim(request)
        except TimeoutError:
            self._give_back_later(call, holder)
            raise errors.ControlUnavailable(
                'the claim was not committed in time', retry_after=_AGAIN_S
            ) from None
        except asyncio.CancelledError:
            self._give_back_later(call, holder)
            raise
        if answer.state == _State.GRANTED:
            return None
        if answer.state == _State.DONE:
            return pb.Outcome.FromString(answer.outcome)
        raise _refusal(answer.state, call.key)

    async def _run(
        self, call: exchange.Call, holder: str, run: Run
    ) -> pb.Outcome:
        """Run to the end even if the caller goes away meanwhile."""
        task = asyncio.create_task(self._run_claimed(call, holder, run))
        self._background.add(typing.cast(typing.Any, task))
        task.add_done_callback(self._background.discard)
        task.add_done_callback(_retrieve)
        return await asyncio.shield(task)

    async def _run_claimed(
        self, call: exchange.Call, holder: str, run: Run
    ) -> pb.Outcome:
        try:
            outcome = await self._collect(run(call))
        except errors.HoneyportError as error:
            if error.ran is False:
                await self._settle(_action.RELEASE, call, holder)
                error.settled = True
            elif isinstance(error, errors.AnswerTooLarge):
                await self._record(call, holder, _too_large(error))
            else:
                logs.emit(
                    events.CLAIM_UNRESOLVED, key=call.key, code=error.code
                )
                await self._settle(_action.ABANDON, call, holder)
                raise errors.MayHaveRun(error.detail) from error
            raise
        await self._record(call, holder, outcome)
        return outcome

    async def _collect(self, answer: exchange.Answer) -> pb.Outcome:
        outcome = pb.Outcome()
        body = bytearray()
        most = self._state.bundle.limits.answer_bytes
        async with contextlib.aclosing(answer):
            async for frame in answer:
                if isinstance(frame, exchange.Head):
                    outcome.status = frame.status
                    outcome.backend = frame.backend
                    for name, value in frame.headers:
                        outcome.headers.add(name=name, value=value)
                elif isinstance(frame, exchange.Data):
                    body += frame.payload
                if len(body) > most:
                    raise errors.AnswerTooLarge()
        outcome.body = bytes(body)
        return outcome

    async def _record(
        self, call: exchange.Call, holder: str, outcome: pb.Outcome
    ) -> None:
        await self._settle(
            _action.RECORD, call, holder, outcome.SerializeToString()
        )

    async def _settle(
        self,
        action: 'pb.ClaimRequest.Action',
        call: exchange.Call,
        holder: str,
        outcome: bytes = b'',
    ) -> None:
        request = self._request(action, call, holder)
        request.outcome = outcome
        await self._session.claim(request)

    def _give_back_later(self, call: exchange.Call, holder: str) -> None:
        """Give a claim back that may still be committed."""
        task = asyncio.create_task(self._settle(_action.RELEASE, call, holder))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _request(
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
            retention_s=self._state.timing.claim_retention_s,
        )

    def _holder(self) -> str:
        number = next(self._numbers)
        return f'{self._name}/{self._session.incarnation}/{number}'


def check_key(key: str, now_s: float) -> None:
    """Check an idempotency key.

    :raises errors.KeyInvalid: if it is not a UUIDv7, or from the future
    """
    issued_s = claims.issue_time_s(key)
    if issued_s is None:
        raise errors.KeyInvalid(f'{key!r} is not a UUIDv7')
    if issued_s > now_s + _FUTURE_S:
        raise errors.KeyInvalid(f'{key!r} is from the future')


def _digest(call: exchange.Call) -> str:
    """Return what tells one request from another with the same key."""
    text = f'{call.account}\n{call.method}\n{call.service}\n{call.path}\n'
    return hashlib.sha256(text.encode() + call.body).hexdigest()[:32]


def _refusal(state: 'pb.ClaimAnswer.State', key: str) -> errors.HoneyportError:
    if state == _State.RUNNING:
        return errors.StillRunning(retry_after=_AGAIN_S)
    if state == _State.MISMATCH:
        error = errors.KeyReused()
        error.settled = True
        return error
    if state == _State.EXPIRED:
        return errors.KeyExpired()
    return errors.MayHaveRun(f'the instance that ran {key} went away')


def _too_large(error: errors.AnswerTooLarge) -> pb.Outcome:
    return pb.Outcome(status=error.status, body=error.detail.encode())


def _replay(
    outcome: pb.Outcome, recorded: bool
) -> typing.Iterator[exchange.Frame]:
    headers = tuple((one.name, one.value) for one in outcome.headers)
    yield exchange.Head(outcome.status, headers, outcome.backend, recorded)
    if outcome.body:
        yield exchange.Data(1, outcome.body)
    yield exchange.End(1 if outcome.body else 0, len(outcome.body))


def _retrieve(task: asyncio.Task[typing.Any]) -> None:
    if not task.cancelled():
        task.exception()


_action = pb.ClaimRequest
