"""Steps about the policy for silent instances."""

import itertools

import attrs
import behave

from honeyport.policy import activity
from honeyport.policy import obstacles
from honeyport.policy import silence

_LIMIT_S = 0.5
_SITUATION = silence.Situation(
    may_repeat=True,
    is_suspect=False,
    is_elsewhere=False,
    offers_left=1,
    retries_left=1,
    remaining_s=5.0,
    objective_s=0.5,
    others=7,
    mute=0,
    heard=7,
    was_shared=False,
)
_CHANGES = {
    'its route allows no other run': {'may_repeat': False},
    'it may crash its instance': {'is_suspect': True},
    'another gateway makes the attempt': {'is_elsewhere': True},
    'it may be offered to no other instance': {'offers_left': 0},
    'the budget allows no retry': {'retries_left': 0},
    'less time is left than the route aims at': {'remaining_s': 0.4},
    'no other instance is sending, and most are mute': {
        'mute': 5,
        'heard': 0,
    },
    'all were silent before': {'was_shared': True},
}


@behave.given('a silent instance among others that are sending')
def step_situation(context):
    context.situation = _SITUATION


@behave.when('it turns out that {change}')
def step_change(context, change):
    context.situation = attrs.evolve(context.situation, **_CHANGES[change])


@behave.given('a silent instance among {others:d} others')
def step_others(context, others):
    context.situation = attrs.evolve(_SITUATION, others=others)


@behave.when('{mute:d} of them are mute, and {heard:d} are sending')
def step_mute(context, mute, heard):
    context.situation = attrs.evolve(context.situation, mute=mute, heard=heard)


@behave.then('the attempt goes on, as {obstacle}')
def step_goes_on(context, obstacle):
    found = silence.find_obstacle(context.situation)
    assert found is obstacles.Obstacle(obstacle), found


@behave.then('the attempt may be left')
def step_left(context):
    assert silence.find_obstacle(context.situation) is None


@behave.then(
    'in every situation an attempt is left only if the next one can follow'
)
def step_walk(context):
    left = 0
    for situation in _situations():
        if silence.find_obstacle(situation) is not None:
            continue
        left += 1
        assert situation.may_repeat and not situation.is_elsewhere
        assert not situation.is_suspect
        assert situation.offers_left and situation.retries_left
        assert situation.remaining_s >= situation.objective_s
        assert not situation.is_shared
    assert left


@behave.then(
    'in every situation an instance is at fault only if its silence is its own'
)
def step_walk_fault(context):
    for situation in _situations():
        if situation.is_instance_at_fault:
            assert not situation.is_shared and not situation.was_shared


def _situations():
    """Yield all situations with two other instances."""
    values = {
        'may_repeat': (False, True),
        'is_suspect': (False, True),
        'is_elsewhere': (False, True),
        'offers_left': (0, 1),
        'retries_left': (0, 1),
        'remaining_s': (0.4, 0.5),
        'mute': (0, 1, 2),
        'heard': (0, 1, 2),
        'was_shared': (False, True),
    }
    for combination in itertools.product(*values.values()):
        yield attrs.evolve(
            _SITUATION, others=2, **dict(zip(values, combination, strict=True))
        )


@behave.given('the other instances {names}')
def step_other_instances(context, names):
    context.others = names.split(', ')


@behave.when('{mute} are silent, {heard} are sending and {full} are full')
def step_states_of_others(context, mute, heard, full):
    others = set(context.others)
    left = [
        ' '.join(sorted(others - excluded))
        for excluded in silence.iter_excluded(
            others, _names(mute), _names(heard), _names(full)
        )
    ]
    # Sets that leave none are passed over, and so are repeated ones.
    context.order = list(dict.fromkeys(filter(None, left)))


@behave.then('they are chosen in this order: {order}')
def step_order(context, order):
    expected = [] if order == 'none' else order.split(', ')
    assert context.order == expected, context.order


def _names(text):
    return set() if text == 'none' else set(text.split(', '))


@behave.given(
    'requests at i-1 and i-2 since {since:f} s that may be quiet for '
    '{limit:f} s'
)
def step_requests(context, since, limit):
    context.tracker = activity.ActivityTracker()
    context.attempts = [
        context.tracker.record_sent('app', instance, since, limit)
        for instance in ('i-1', 'i-2')
    ]


@behave.given(
    'another request at i-1 since {since:f} s that may be quiet for {limit:f} '
    's'
)
def step_other_request(context, since, limit):
    context.tracker.record_sent('app', 'i-1', since, limit)


@behave.when('the one at i-1 brings bytes at {times} s')
def step_bytes(context, times):
    for at in times.split(', '):
        context.tracker.record_bytes(context.attempts[0], _LIMIT_S, float(at))


@behave.when('they end')
def step_end(context):
    for attempt in context.attempts:
        context.tracker.record_ended(attempt)


@behave.when('none of them is listed')
def step_unlisted(context):
    context.tracker.retain(())


@behave.then('at {now:f} s {mute} are mute and {heard} are heard')
def step_states(context, now, mute, heard):
    found = [
        ', '.join(sorted(instances)) or 'none'
        for instances in (
            context.tracker.mute('app', now),
            context.tracker.heard('app', now, _LIMIT_S),
        )
    ]
    assert found == [mute, heard], found


@behave.then('no instance is remembered')
def step_forgotten(context):
    assert not context.tracker._records
