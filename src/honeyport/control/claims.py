"""Claims of idempotency keys: holder and outcome of non-repeatable requests.

A key is a UUIDv7, which contains its time of issue. All keys issued up to the
*horizon* are deleted and refused from then on. The horizon only moves forward,
whatever happens to clocks and retention settings, so a deleted key is never
accepted as a new one.
"""

import typing
import uuid

import attrs

from honeyport.wire import honeyport_pb2 as pb

_Action = pb.ClaimRequest
_State = pb.ClaimAnswer


@attrs.define
class Claim:
    """The record of one key.

    :ivar digest: of the request that claimed the key
    :ivar holder: router, incarnation and request, separated by ``/``
    :ivar issued_s: seconds since the epoch
    :ivar done: whether the outcome is recorded
    :ivar lost: whether the request was sent and its outcome is unknown
    :ivar outcome: the recorded answer
    """

    digest: str
    holder: str
    issued_s: float
    done: bool = False
    lost: bool = False
    outcome: bytes = b''


class Claims:
    """The claims of the replicated state; changed only by log entries."""

    def __init__(self) -> None:
        self._claims: dict[str, Claim] = {}
        self._now_s = 0.0
        self._horizon_s = 0.0

    def __len__(self) -> int:
        return len(self._claims)

    def holder(self, key: str) -> str:
        """Return the holder of a key, or ``''`` if the key is not claimed."""
        claim = self._claims.get(key)
        return claim.holder if claim else ''

    def apply(self, batch: pb.ClaimBatch) -> list[pb.ClaimAnswer]:
        """Apply the requests of a log entry, in order."""
        self._now_s = max(self._now_s, batch.now_s)
        answers = []
        for request in batch.requests:
            state, outcome = self._apply_request(request)
            answers.append(
                pb.ClaimAnswer(id=request.id, state=state, outcome=outcome)
            )
        self._delete_expired()
        return answers

    def save(self, state: pb.State) -> None:
        """Add the claims to a snapshot."""
        state.now_s = self._now_s
        state.horizon_s = self._horizon_s
        for key, claim in self._claims.items():
            state.claims.add(key=key, **attrs.asdict(claim))

    def restore(self, state: pb.State) -> None:
        """Replace the claims with those of a snapshot."""
        self._now_s = state.now_s
        self._horizon_s = state.horizon_s
        self._claims = {
            claim.key: Claim(
                claim.digest,
                claim.holder,
                claim.issued_s,
                claim.done,
                claim.lost,
                claim.outcome,
            )
            for claim in state.claims
        }

    def _apply_request(
        self, request: pb.ClaimRequest
    ) -> tuple['pb.ClaimAnswer.State', bytes]:
        if request.action == _Action.CLAIM:
            return self._claim(request)
        claim = self._claims.get(request.key)
        if claim is None or claim.holder != request.holder:
            return _State.OK, b''
        if request.action == _Action.RECORD:
            claim.done = True
            claim.outcome = request.outcome
        elif request.action == _Action.ABANDON:
            claim.lost = True
        elif not claim.done:
            del self._claims[request.key]
        return _State.OK, b''

    def _claim(
        self, request: pb.ClaimRequest
    ) -> tuple['pb.ClaimAnswer.State', bytes]:
        issued_s = issue_time_s(request.key) or 0.0
        horizon_s = self._now_s - request.retention_s
        self._horizon_s = max(self._horizon_s, horizon_s)
        if issued_s <= self._horizon_s:
            return _State.EXPIRED, b''
        claim = self._claims.get(request.key)
        if claim is None:
            self._claims[request.key] = Claim(
                request.digest, request.holder, issued_s
            )
            return _State.GRANTED, b''
        if claim.digest != request.digest:
            return _State.MISMATCH, b''
        if claim.done:
            return _State.DONE, claim.outcome
        if claim.lost:
            return _State.UNKNOWN, b''
        if claim.holder == request.holder:
            return _State.GRANTED, b''
        return _State.RUNNING, b''

    def _delete_expired(self) -> None:
        """Delete the claims up to the horizon, in order of insertion.

        Keys arrive nearly in order of issue. An older key behind a newer one
        is deleted later, and refused because of the horizon meanwhile.
        """
        while self._claims:
            key = next(iter(self._claims))
            if self._claims[key].issued_s > self._horizon_s:
                return
            del self._claims[key]


def issue_time_s(key: str) -> float | None:
    """Return the time at which a UUIDv7 was issued.

    :returns: seconds since the epoch, or ``None`` if the key is not a UUIDv7
        (RFC 9562, section 5.7)
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != 7 or value.variant != uuid.RFC_4122:
        return None
    return (value.int >> 80) / 1000.0


def new_key(now_s: float, random_bits: typing.Callable[[int], int]) -> str:
    """Return a new UUIDv7 (RFC 9562, section 5.7).

    :param now_s: seconds since the epoch
    :param random_bits: returns the given number of random bits, such as
        ``secrets.randbits``
    """
    value = (int(now_s * 1000) & ((1 << 48) - 1)) << 80
    value |= 0x7 << 76 | random_bits(12) << 64
    value |= 0b10 << 62 | random_bits(62)
    return str(uuid.UUID(int=value))
