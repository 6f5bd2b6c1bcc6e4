"""Steps about requests under which instances end."""

import behave

from features.support import crashes
from honeyport.policy import suspicion

_REQUEST = 'request'
_APART_S = 4.0
_HOUR_S = 3600
_LOADS = {
    'crashes of 0.15 every 3 s': crashes.Load(share=0.15),
    'crashes of 0.34 every 2 s': crashes.Load(share=0.34, every_s=2.0),
    'a hot key under crashes of 0.15': crashes.Load(share=0.15, hot=True),
    'a whole domain that ends every 5 s': crashes.Load(
        share=0.33, every_s=5.0, by_domain=True, requests_per_s=240.0
    ),
    'a request that ends its instance': crashes.Load(deadly=1),
    'two such requests and a hot key': crashes.Load(deadly=2, hot=True),
    'nine copies of one at once': crashes.Load(deadly=1, copies=9),
}


@behave.given('a record of requests')
def step_record(context):
    context.register = suspicion.EndRegister({}, 0.0)
    context.now = 100.0
    context.count = 0
    context.gone = set()


@behave.when('{count:d} instances end under a request')
def step_end(context, count):
    for _ in range(count):
        _end(context)


@behave.when(
    'one instance ends {count:d} times under a request, {apart:g} s apart'
)
def step_end_again(context, count, apart):
    for _ in range(count):
        context.now += apart
        context.register.record_end(_REQUEST, 'i', context.now)


@behave.when(
    '{count:d} instances end under a request, each seen by {gateways:d} '
    'gateways within {spread:g} s'
)
def step_end_seen(context, count, gateways, spread):
    for _ in range(count):
        context.now += _APART_S
        context.count += 1
        for gateway in range(gateways):
            at = context.now + spread * gateway / gateways
            name = f'i-{context.count}'
            context.register.record_end(_REQUEST, name, at)


@behave.when('it is served')
def step_served(context):
    assert context.register.clear(_REQUEST)


@behave.when('that gateway gives it back')
def step_give_back(context):
    context.register.release_permit(_REQUEST, context.holder)


@behave.when('that gateway loses its lease')
def step_lose(context):
    context.gone.add(context.holder)


@behave.when(
    'it is asked for each second of {hours:d} hours, and ends who runs it'
)
def step_ask_long(context, hours):
    began = context.now
    context.tried = []
    for second in range(1, hours * _HOUR_S):
        context.now = began + second
        if _ask(context, 'g').granted:
            context.tried.append(second)
            context.register.release_permit(_REQUEST, 'g')
            context.register.record_end(_REQUEST, f't-{second}', context.now)


@behave.when('a new leader takes over what was written down')
def step_new_leader(context):
    noted = {_REQUEST: context.register.ended_instances(_REQUEST)}
    context.now += _APART_S
    context.register = suspicion.EndRegister(noted, context.now)


@behave.when('it is told of the same {count:d} ends by {gateways:d} gateways')
def step_told_again(context, count, gateways):
    for number in range(1, count + 1):
        for _ in range(gateways):
            at = context.now - _APART_S * number
            context.register.record_end(_REQUEST, f'i-{number}', at)


@behave.when('{count:d} other requests are each under one end')
def step_others(context, count):
    for number in range(count):
        context.register.record_end(f'other-{number}', 'i-x', context.now)


@behave.then('from now on it is {state}')
def step_state(context, state):
    shown = [one.request for one in context.register.suspects()]
    verdict = _ask(context, 'g')
    found = 'free'
    if _REQUEST in shown:
        found = 'let in' if verdict.granted else 'barred'
        assert verdict.barred == (found == 'barred')
    assert found == state, found


@behave.then('one of {count:d} gateways that ask may run it')
def step_one(context, count):
    left = (f'g-{number}' for number in range(count + len(context.gone)))
    gateways = [one for one in left if one not in context.gone][:count]
    granted = [one for one in gateways if _ask(context, one).granted]
    assert len(granted) == 1, granted
    context.holder = granted[0]


@behave.then('it was tried after {one:d}, {two:d} and {three:d} seconds')
def step_tried(context, one, two, three):
    assert context.tried == [one, two, three], context.tried


@behave.then('only an operator may clear it')
def step_operator(context):
    assert _ask(context, 'g') == suspicion.PermitDecision(
        granted=False, barred=True
    )
    assert context.register.clear(_REQUEST)
    assert _ask(context, 'g').granted


@behave.then('{count:d} ends are counted')
def step_counted(context, count):
    [found] = context.register.suspects()
    assert found.ends == count, found


@behave.then('no more than {most:d} requests are remembered')
def step_remembered(context, most):
    assert len(context.register) <= most, len(context.register)


@behave.given('a fleet of {gateways:d} gateways and {instances:d} instances')
def step_fleet(context, gateways, instances):
    context.size = (gateways, instances)


@behave.when('{load} is played with {seeds:d} seeds')
def step_play(context, load, seeds):
    context.fleets = []
    for seed in range(1, seeds + 1):
        fleet = crashes.Fleet(_LOADS[load], *context.size, seed)
        fleet.play()
        context.fleets.append(fleet)


@behave.then('at most {most:d} of its proper requests are refused')
def step_refused(context, most):
    refused = [one.refused for one in context.fleets]
    assert sum(refused) <= most, refused


@behave.then('at least {least:d} were sent')
def step_sent(context, least):
    assert sum(one.sent for one in context.fleets) >= least


@behave.then('each such request ends at most {most:d} instances')
def step_ends(context, most):
    found = [dict(one.ends) for one in context.fleets]
    assert all(found), found
    assert max(max(one.values()) for one in found) <= most, found


def _end(context):
    context.now += _APART_S
    context.count += 1
    name = f'i-{context.count}'
    context.register.record_end(_REQUEST, name, context.now)


def _ask(context, holder):
    return context.register.request_permit(
        _REQUEST, holder, context.now, lambda one: one not in context.gone
    )
