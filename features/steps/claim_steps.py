"""Steps for claims in the replicated state."""

import behave

from honeyport.control import claims
from honeyport.wire import honeyport_pb2 as pb

_NOW_S = 1_800_000_000.0
_State = pb.ClaimAnswer


def apply_request(context, action, retention=60, holder='r1/a/1', key=None):
    """Apply one request; return the answer."""
    request = pb.ClaimRequest(
        action=action,
        key=key or context.key,
        digest='d',
        holder=holder,
        outcome=b'done',
        retention_s=retention,
    )
    batch = pb.ClaimBatch(requests=[request], now_s=context.now)
    return context.claims.apply(batch)[0]


def claim_new_key(context, retention):
    """Claim a new key; fail if it is not granted."""
    context.now = _NOW_S
    context.claims = claims.Claims()
    context.key = claims.new_key(_NOW_S, lambda bits: 1)
    answer = apply_request(context, pb.ClaimRequest.CLAIM, retention)
    assert answer.state == _State.GRANTED


@behave.given('a claim with a retention of {retention:d} seconds that is done')
def step_done(context, retention):
    claim_new_key(context, retention)
    apply_request(context, pb.ClaimRequest.RECORD)


@behave.given(
    'a claim with a retention of {retention:d} seconds that was released'
)
def step_released(context, retention):
    claim_new_key(context, retention)
    apply_request(context, pb.ClaimRequest.RELEASE)


@behave.when('{seconds:d} seconds pass and other keys are claimed')
def step_pass(context, seconds):
    context.now += seconds
    key = claims.new_key(context.now, lambda bits: 2)
    apply_request(context, pb.ClaimRequest.CLAIM, key=key, holder='r1/a/2')


@behave.when('the clock is set back by {seconds:d} seconds')
def step_set_clock_back(context, seconds):
    context.now -= seconds


@behave.when('the claims are saved and restored')
def step_restore(context):
    state = pb.State()
    context.claims.save(state)
    context.claims = claims.Claims()
    context.claims.restore(pb.State.FromString(state.SerializeToString()))


@behave.when('the key is claimed with a retention of {retention:d} seconds')
def step_claim(context, retention):
    context.answer = apply_request(
        context, pb.ClaimRequest.CLAIM, retention, holder='r2/b/1'
    )


@behave.then('the state is "{state}"')
def step_state(context, state):
    assert context.answer.state == getattr(_State, state), context.answer
