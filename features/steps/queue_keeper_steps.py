"""Steps about the keepers of shared queues."""

import behave

from honeyport.policy import queue_keepers

_REPORT_S = 0.25
_STEP_S = 0.05
_START_S = 100.0


@behave.given(
    'instances with {slots} slots and {gateways:d} gateways, {state}'
)
def step_slots(context, slots, gateways, state):
    context.needs = queue_keepers.needs_queue(
        [int(count) for count in slots.split()],
        gateways,
        has_queue=state == 'with a queue',
    )


@behave.then('the service {needs} a queue')
def step_needs(context, needs):
    assert context.needs == (needs == 'needs')


@behave.given('{services:d} services with queues before {gateways:d} gateways')
def step_services(context, services, gateways):
    context.services = [f's-{number}' for number in range(services)]
    context.candidates = [
        queue_keepers.Candidate(f'g-{number}', frozenset())
        for number in range(gateways)
    ]
    context.keepers = _find(context.services, context.candidates)


def _find(services, candidates):
    return {
        service: queue_keepers.find_keeper(service, candidates)
        for service in services
    }


@behave.when('gateway {number:d} leaves')
def step_leaves(context, number):
    context.gone = f'g-{number}'
    context.remaining = [
        candidate
        for candidate in context.candidates
        if candidate.name != context.gone
    ]
    context.after = _find(context.services, context.remaining)


@behave.then('only its own services have another keeper')
def step_only_own(context):
    moved = {
        service
        for service in context.services
        if context.after[service] != context.keepers[service]
    }
    own = {
        service
        for service in context.services
        if context.keepers[service] == context.gone
    }
    assert moved == own and own
    # One keeper in twenty each; none has a quarter.
    kept = list(context.keepers.values())
    most = max(kept.count(name) for name in set(kept))
    assert most < len(kept) / 4, most


@behave.then('gateways that cannot reach a service do not keep its queue')
def step_cut_off(context):
    service = context.services[0]
    keeper = context.after[service]
    others = [
        queue_keepers.Candidate(
            candidate.name,
            frozenset((service,) if candidate.name == keeper else ()),
        )
        for candidate in context.remaining
    ]
    assert queue_keepers.find_keeper(service, others) not in ('', keeper)
    nobody = [
        queue_keepers.Candidate(candidate.name, frozenset((service,)))
        for candidate in others
    ]
    assert queue_keepers.find_keeper(service, nobody) == ''


@behave.given('a gateway that hears from control every 250 ms')
def step_tenure(context):
    context.tenure = queue_keepers.Tenure()
    context.contact_at = _START_S


def _hear(context, seconds, *, is_keeper):
    """Hear from control for some time, the last time at its end."""
    until = context.contact_at + seconds
    while context.contact_at < until:
        context.contact_at += _REPORT_S
        _update(context, is_keeper=is_keeper)


def _update(context, *, is_keeper):
    context.tenure.update(
        is_keeper=is_keeper,
        contact_at=context.contact_at,
        now=context.contact_at,
    )


def _times(context, seconds, *, hears):
    """Return how long after now slots are granted, in milliseconds."""
    granted = []
    started_at = now = context.contact_at
    while now < started_at + seconds:
        if hears and now - context.contact_at >= _REPORT_S:
            context.contact_at = now
            _update(context, is_keeper=True)
        if context.tenure.may_grant(context.contact_at, now):
            granted.append((now - started_at) * 1000)
        now += _STEP_S
    return granted


@behave.when('its first list makes it the keeper')
def step_first(context):
    _update(context, is_keeper=True)
    context.granted = _times(context, 3.0, hears=True)


@behave.when('it was the keeper and hears nothing')
def step_silent(context):
    _hear(context, 5.0, is_keeper=True)
    context.granted = _times(context, 3.0, hears=False)


@behave.when('it was the keeper and heard nothing for {gap_ms:d} ms')
def step_gap(context, gap_ms):
    _hear(context, 5.0, is_keeper=True)
    context.contact_at += gap_ms / 1000
    _update(context, is_keeper=True)
    context.granted = _times(context, 3.0, hears=True)


@behave.when('another list makes another gateway the keeper')
def step_other(context):
    _hear(context, 5.0, is_keeper=True)
    _update(context, is_keeper=False)
    context.granted = _times(context, 1.0, hears=False)


@behave.then('it grants slots after {limit_ms:d} ms')
def step_after(context, limit_ms):
    first_ms = context.granted[0]
    assert abs(first_ms - limit_ms) <= _STEP_S * 1000 + 1, first_ms


@behave.then('it grants slots until {limit_ms:d} ms')
def step_until(context, limit_ms):
    last_ms = context.granted[-1] if context.granted else 0.0
    assert abs(last_ms - limit_ms) <= _STEP_S * 1000 + 1, last_ms
