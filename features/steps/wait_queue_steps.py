"""Steps about the queue for the slots of a small service."""

import math

import attrs
import behave

from features.support import waiting
from honeyport.policy import return_times
from honeyport.policy import wait_queue

_HELD_S = 0.08
_LEFT_S = 1.5
_VALUES = {
    'empty': frozenset(),
    'past': -1.0,
    'not a number': math.nan,
    'infinite': math.inf,
    'negative': -1,
    'huge': 10**9,
}


@behave.given(
    '{seeds:d} seeds of {load:g} times the load that {instances:d} instances'
    ' can serve'
)
def step_load(context, seeds, load, instances):
    context.load = waiting.Load(seeds=seeds, load=load, size=instances // 4)


@behave.given('an instance is lost for 5 s')
def step_lost(context):
    context.load = attrs.evolve(context.load, is_one_lost=True)


@behave.given('{gateways:d} gateways')
def step_gateways(context, gateways):
    seconds = 8.0 if context.load.size > 1 else 20.0
    context.load = attrs.evolve(
        context.load, gateways=gateways, seconds=seconds
    )


@behave.given('requests take {factor:g} times as long as the queue is told')
def step_misjudged(context, factor):
    context.load = attrs.evolve(context.load, misjudged=1.0 / factor)


@behave.given('the first account sends {factor:g} times its usual')
def step_loud(context, factor):
    context.load = attrs.evolve(context.load, loud=factor)


@behave.given('the callers of the last account repeat at once {count:d} times')
def step_repeat(context, count):
    context.load = attrs.evolve(context.load, repeats=count)


@behave.given('{share:g} of the requests are urgent')
def step_urgent(context, share):
    context.load = attrs.evolve(
        context.load, routes=((0, share), (9, 1.0 - share))
    )


@behave.when('the requests wait in one queue instead of being sent at once')
def step_replay(context):
    context.at_once = waiting.play(waiting.SentAtOnce, context.load)
    context.queued = waiting.play(waiting.Queued, context.load)


@behave.then('at least {more:g} more of them are served in time')
def step_more(context, more):
    before = context.at_once.share('in time')
    after = context.queued.share('in time')
    assert after >= before + more, (before, after)


@behave.then('at most {less:g} less of them are served at all')
def step_less(context, less):
    before, after = context.at_once.served(), context.queued.served()
    assert after >= before - less, (before, after)


@behave.then('half of the refusals take at most {limit:d} ms')
def step_refusals(context, limit):
    refusal_s = context.queued.refusal_s()
    assert refusal_s <= limit / 1000, refusal_s


@behave.then(
    '{share:g} of the requests of each other account are served in time'
)
def step_others(context, share):
    shares = [
        context.queued.share('in time', account=account)
        for account in range(1, context.load.accounts)
    ]
    assert min(shares) >= share, shares


@behave.then('the first account is served at least as much as the others')
def step_loud_served(context):
    served = [0] * context.load.accounts
    for call in context.queued.calls:
        served[call.account] += call.outcome == 'in time'
    assert served[0] >= max(served[1:]), served


@behave.then('no {kind} has less than half of the mean share in time')
def step_half(context, kind):
    count = len(context.load.routes)
    if kind == 'account':
        count = context.load.accounts
    mean = context.queued.share('in time')
    shares = [
        context.queued.share('in time', **{kind: number})
        for number in range(count)
    ]
    assert min(shares) >= mean / 2, (mean, shares)


@behave.then('the last account is served at most {more:g} more than the mean')
def step_repeaters(context, more):
    last = context.load.accounts - 1
    share = context.queued.served(account=last)
    assert share <= context.queued.served() + more, share


@behave.then('urgent requests are served in time more often')
def step_urgent_more(context):
    shares = [context.queued.share('in time', route=i) for i in range(2)]
    assert shares[0] > shares[1], shares


@behave.then(
    '{share:g} of the callers that were told when to come back are served then'
)
def step_told(context, share):
    told = [call for call in context.queued.calls if call.is_told]
    served = sum(len(call.refused_after_s) == 1 for call in told)
    assert len(told) > 100 and served >= share * len(told), (served, len(told))


@behave.given('a queue before {slots:d} slots, of which {taken:d} {are} taken')
def step_queue(context, slots, taken, are):
    context.queue = wait_queue.WaitQueue()
    context.room = wait_queue.Room(
        slots=slots, taken=taken, mean_held_s=_HELD_S
    )
    context.now = 100.0
    context.numbers = iter(range(10**6))


@behave.given('so many requests wait that the next one is refused')
def step_full(context):
    while isinstance(_ask(context), wait_queue.Admission):
        context.now += 0.001


@behave.when('a request asks')
def step_ask(context):
    context.answer = _ask(context)


@behave.when('a request asks that must be done in {left_s:g} s')
def step_near(context, left_s):
    context.answer = _ask(context, deadline_at=context.now + left_s)


@behave.when('a request asks whose {field} is {value}')
def step_unusable(context, field, value):
    wanted = b'' if field == 'fingerprint' else _VALUES[value]
    context.answer = _ask(context, **{field: wanted})


@behave.when('request "{name}" asks, whose objective has passed')
def step_passed(context, name):
    _ask(context, name, objective_at=context.now)


@behave.when('request "{name}" asks {later_s:g} s later')
def step_later(context, name, later_s):
    context.now += later_s
    _ask(context, name)


@behave.when('request "{name}" asks with priority {priority:d}')
def step_priority(context, name, priority):
    _ask(context, name, priority=priority, objective_at=math.inf)


@behave.when(
    'request "{name}" asks {later_s:g} s later with priority {priority:d}'
)
def step_priority_later(context, name, later_s, priority):
    context.now += later_s
    _ask(context, name, priority=priority, objective_at=math.inf)


@behave.when('request "{name}" of account "{account}" asks')
def step_account(context, name, account):
    _ask(context, name, account=account)


@behave.given(
    '{count:d} requests of route "{served}" got slots, and {others:d} of route'
    ' "{passed}" did not'
)
def step_routes(context, count, served, others, passed):
    for _ in range(count):
        _ask(context, route=served)
        assert _take(context) is not None
    for _ in range(others):
        key = wait_queue.Key('gone', next(context.numbers))
        _ask(context, key=key, route=passed)
        context.queue.remove(key)


@behave.when(
    'on route "{route}", request "{name}" asks with priority {priority:d}'
)
def step_route(context, name, route, priority):
    _ask(context, name, route=route, priority=priority)


@behave.when('{count:d} requests ask')
@behave.when('{count:d} more requests ask')
def step_many(context, count):
    context.answers = [_ask(context) for _ in range(count)]


@behave.when('{count:d} of the slots are lost')
def step_slots_lost(context, count):
    slots = context.room.slots - count
    context.room = attrs.evolve(context.room, slots=slots, taken=slots)


@behave.when('{seconds:g} s pass')
def step_pass(context, seconds):
    context.now += seconds


@behave.when(
    'request "{name}" asks, and asks again at the time that it was told'
)
def step_back(context, name):
    first = _ask(context, name)
    context.now += first.back_s
    context.answer = _ask(context, name, deadline_at=context.now + 1.0)


@behave.when('request "{name}" asks, and asks again at once')
def step_at_once(context, name):
    context.first = _ask(context, name)
    context.answer = _ask(context, name)


@behave.when('{count:d} requests are refused')
def step_remember(context, count):
    context.returns = return_times.ReturnTimes()
    context.now = 100.0
    for number in range(count):
        context.returns.plan(
            number.to_bytes(4, 'big'),
            room_s=0.1,
            interval_s=0.0,
            held_s=_HELD_S,
            objective_at=context.now,
            deadline_at=context.now + 30.0,
            now=context.now,
        )


@behave.then('it is admitted')
def step_admitted(context):
    assert isinstance(context.answer, wait_queue.Admission), context.answer


@behave.then('it is admitted, with a forecast of {forecast_s:g} s')
def step_forecast(context, forecast_s):
    assert context.answer.forecast_s == forecast_s, context.answer


@behave.then('it is refused as {reason}')
def step_refused(context, reason):
    assert context.answer.reason == reason, context.answer


@behave.then('its caller is not told when to come back')
def step_not_told(context):
    assert context.answer.back_s is None, context.answer


@behave.then('it is granted a slot')
def step_granted(context):
    assert _take(context) is not None


@behave.then('no slot is granted')
def step_not_granted(context):
    assert _take(context) is None
    refused = context.queue.refuse_hopeless(context.room, context.now)
    assert len(refused) == 1 and len(context.queue) == 0, refused


@behave.then('"{names}" is the order of the grants')
def step_order(context, names):
    granted = []
    while (grant := _take(context)) is not None:
        granted.append(grant.waiting.key.gateway)
    assert granted == names.split(', '), granted


@behave.then('at least {count:d} requests are refused at once as overtaken')
def step_overtaken(context, count):
    refused = context.queue.refuse_hopeless(context.room, context.now)
    assert len(refused) >= count, len(refused)
    assert {refusal.reason for refusal in refused} == {'overtaken'}, refused


@behave.then('they are told times that are at least {apart_s:g} s apart')
def step_apart(context, apart_s):
    told = sorted(_told(context))
    gaps = [b - a for a, b in zip(told, told[1:], strict=False)]
    assert len(told) > 2 and min(gaps) >= apart_s, told


@behave.then('each time is within a third of what its caller has left')
def step_third(context):
    assert max(_told(context)) <= _LEFT_S / 3, _told(context)


@behave.then('those that would come later are not told a time')
def step_final(context):
    assert len(_told(context)) < len(context.answers), context.answers


@behave.then('it is granted one of the next {count:d} slots')
def step_next_slots(context, count):
    granted = [_take(context).waiting.key.gateway for _ in range(count)]
    assert 'back' in granted, (granted, context.answer)


@behave.then('it is refused again, and told the same time')
def step_same(context):
    assert context.answer.back_s == context.first.back_s, context.answer


@behave.then('at most {count:d} of them are remembered')
def step_bounded(context, count):
    assert context.returns.expected(context.now) <= count


@behave.then('none {seconds:g} s later')
def step_forgotten(context, seconds):
    assert context.returns.expected(context.now + seconds) == 0


def _ask(context, name='', **fields):
    """Offer a request; names are gateways, so that they are unique."""
    number = next(context.numbers)
    usual = {
        'key': wait_queue.Key(name or f'{number}', number),
        'account': f'account {number}',
        'route': 'route',
        'priority': 5,
        'fingerprint': (name or f'{number}').encode(),
        'allowed': frozenset(('one',)),
        'asked_at': context.now,
        'objective_at': context.now + 0.4,
        'deadline_at': context.now + _LEFT_S,
    }
    request = wait_queue.Waiting(**(usual | fields))
    return context.queue.offer(request, context.room, context.now)


def _take(context):
    return context.queue.take(lambda allowed: min(allowed), context.now)


def _told(context):
    """Return the times at which refused callers should come back."""
    return [
        answer.back_s
        for answer in context.answers
        if isinstance(answer, wait_queue.Refusal) and answer.back_s is not None
    ]


@behave.given('{count:d} requests held their slots for {held_s:g} s')
def step_held(context, count, held_s):
    until = context.now + 30.0
    for _ in range(count):
        _ask(context, objective_at=until, deadline_at=until)
        granted = _take(context)
        context.queue.record_end(granted.waiting, held_s, context.now)


@behave.when('{count:d} requests ask that must be done in {left_s:g} s')
def step_many_near(context, count, left_s):
    context.answers = [
        _ask(context, deadline_at=context.now + left_s) for _ in range(count)
    ]


@behave.then('fewer than {count:d} of them are refused as {reason}')
def step_few_refused(context, count, reason):
    refused = [
        answer
        for answer in context.answers
        if isinstance(answer, wait_queue.Refusal) and answer.reason == reason
    ]
    assert len(refused) < count, len(refused)


@behave.then('it is granted a slot for {left_s:g} s')
def step_granted_for(context, left_s):
    granted = _take(context)
    assert granted.waiting.deadline_at == context.now + left_s, granted
