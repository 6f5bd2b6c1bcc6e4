"""Steps about requests during which instances end."""

import behave

from features.support import crashes
from honeyport.policy import suspicion
from honeyport.policy import traits

_REQUEST = 'request'
_INTERVAL_S = 4.0
_HOUR_S = 3600
_PART_SET = traits.PartSet(service='llm', parts=('f',))
_LOADS = {
    'crashes of 0.15 every 3 s': crashes.Load(share=0.15),
    'crashes of 0.34 every 2 s': crashes.Load(share=0.34, every_s=2.0),
    'a frequent request, crashes of 0.15': crashes.Load(share=0.15, hot=True),
    'a domain that ends every 5 s': crashes.Load(
        share=0.33, every_s=5.0, by_domain=True, requests_per_s=240.0
    ),
    'one harmful request': crashes.Load(deadly=1),
    'two harmful and a frequent request': crashes.Load(deadly=2, hot=True),
    'nine simultaneous harmful requests': crashes.Load(deadly=1, copies=9),
}


@behave.given('an empty record of requests')
def step_record(context):
    context.register = suspicion.EndRegister({}, 0.0)
    context.now = 100.0
    context.count = 0
    context.lost_gateways = set()


@behave.when('{count:d} instances end while they run a request')
def step_end(context, count):
    for _ in range(count):
        _end(context)


@behave.when(
    'one instance ends {count:d} times while it runs a request, '
    '{interval_s:g} s apart'
)
def step_end_again(context, count, interval_s):
    for _ in range(count):
        context.now += interval_s
        context.register.record_end(_REQUEST, 'i', context.now)


@behave.when(
    '{count:d} instances end while they run a request, seen by {gateways:d} '
    'gateways in {spread:g} s'
)
def step_end_seen(context, count, gateways, spread):
    for _ in range(count):
        context.now += _INTERVAL_S
        context.count += 1
        for gateway in range(gateways):
            at = context.now + spread * gateway / gateways
            name = f'i-{context.count}'
            context.register.record_end(_REQUEST, name, at)


@behave.when('it is answered')
def step_answered(context):
    assert context.register.clear(_REQUEST)


@behave.when('that gateway releases the permit')
def step_release(context):
    context.register.release_permit(_REQUEST, context.holder)


@behave.when('that gateway loses its lease')
def step_lose(context):
    context.lost_gateways.add(context.holder)


@behave.when(
    'a permit is requested each second of {hours:d} hours, and each run ends'
)
def step_request_long(context, hours):
    started_at = context.now
    context.tried_at = []
    for second in range(1, hours * _HOUR_S):
        context.now = started_at + second
        if _request_permit(context, 'g').granted:
            context.tried_at.append(second)
            context.register.release_permit(_REQUEST, 'g')
            context.register.record_end(_REQUEST, f't-{second}', context.now)


@behave.when('a new leader loads the stored record')
def step_new_leader(context):
    stored = {_REQUEST: context.register.to_stored(_REQUEST)}
    context.now += _INTERVAL_S
    context.register = suspicion.EndRegister(stored, context.now)


@behave.when('requests with certain parts explain these ends')
def step_explained(context):
    ends = context.register.ends(_REQUEST)
    context.register.set_part_ends(_PART_SET, ends)


@behave.when('a new leader loads all stored records')
def step_new_leader_all(context):
    stored = {
        suspect.request: context.register.to_stored(suspect.request)
        for suspect in context.register.suspects()
    }
    context.now += _INTERVAL_S
    context.register = suspicion.EndRegister(stored, context.now)


@behave.when('the same {count:d} ends are reported by other gateways')
def step_reported_by_others(context, count):
    for number in range(1, count + 1):
        at = context.now - _INTERVAL_S * (context.count - number)
        context.register.record_end(_REQUEST, f'i-{number}', at)


@behave.when(
    'the same {count:d} ends are reported to it by {gateways:d} gateways'
)
def step_reported_again(context, count, gateways):
    for number in range(1, count + 1):
        for _ in range(gateways):
            at = context.now - _INTERVAL_S * number
            context.register.record_end(_REQUEST, f'i-{number}', at)


@behave.when('{count:d} other requests have one end each')
def step_others(context, count):
    for number in range(count):
        context.register.record_end(f'other-{number}', 'i-x', context.now)


@behave.then('from now on it is {state}')
def step_state(context, state):
    suspects = [suspect.request for suspect in context.register.suspects()]
    decision = _request_permit(context, 'g')
    actual = 'free'
    if _REQUEST in suspects:
        actual = 'allowed by permit' if decision.granted else 'barred'
        assert decision.barred == (actual == 'barred')
    assert actual == state, actual


@behave.then('one of {count:d} gateways that ask may run it')
def step_one(context, count):
    names = (
        f'g-{number}' for number in range(count + len(context.lost_gateways))
    )
    gateways = [name for name in names if name not in context.lost_gateways][
        :count
    ]
    granted = [
        gateway
        for gateway in gateways
        if _request_permit(context, gateway).granted
    ]
    assert len(granted) == 1, granted
    context.holder = granted[0]


@behave.then('it was tried after {first:d}, {second:d} and {third:d} seconds')
def step_tried(context, first, second, third):
    assert context.tried_at == [first, second, third], context.tried_at


@behave.then('only an operator may clear it')
def step_operator(context):
    assert _request_permit(context, 'g') == suspicion.PermitDecision(
        granted=False, barred=True
    )
    assert context.register.clear(_REQUEST)
    assert _request_permit(context, 'g').granted


@behave.then('{count:d} ends are counted')
def step_counted(context, count):
    [suspect] = context.register.suspects()
    assert suspect.ends == count, suspect


@behave.then('at most {limit:d} requests are recorded')
def step_recorded(context, limit):
    assert len(context.register) <= limit, len(context.register)


@behave.given('a fleet of {gateways:d} gateways and {instances:d} instances')
def step_fleet(context, gateways, instances):
    context.size = (gateways, instances)


@behave.when('{load} is simulated with {seeds:d} seeds')
def step_simulate(context, load, seeds):
    context.fleets = []
    for seed in range(1, seeds + 1):
        fleet = crashes.Fleet(_LOADS[load], *context.size, seed)
        fleet.play()
        context.fleets.append(fleet)


@behave.then('at most {limit:d} of its harmless requests are refused')
def step_refused(context, limit):
    refused = [fleet.refused for fleet in context.fleets]
    assert sum(refused) <= limit, refused


@behave.then('at least {minimum:d} were sent')
def step_sent(context, minimum):
    assert sum(fleet.sent for fleet in context.fleets) >= minimum


@behave.then('each harmful request ends at most {limit:d} instances')
def step_ends(context, limit):
    ends_by_fleet = [dict(fleet.ends) for fleet in context.fleets]
    assert all(ends_by_fleet), ends_by_fleet
    assert max(max(ends.values()) for ends in ends_by_fleet) <= limit, (
        ends_by_fleet
    )


def _end(context):
    context.now += _INTERVAL_S
    context.count += 1
    name = f'i-{context.count}'
    context.register.record_end(_REQUEST, name, context.now)


def _request_permit(context, holder):
    return context.register.request_permit(
        _REQUEST,
        holder,
        context.now,
        lambda holder_name: holder_name not in context.lost_gateways,
    )
