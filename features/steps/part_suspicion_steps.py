"""Steps about prompt parts that crash instances."""

import itertools
import time

import behave

from features.support import part_crashes
from honeyport.policy import crash_history
from honeyport.policy import part_suspicion
from honeyport.policy import suspicion
from honeyport.policy import traits

_SERVICE = 'llm'
_OTHER_SERVICE = 'other'
_HOUR_S = 3600
_REPLY_S = 0.5  # longer than gateways may take to reply
_CONTACT_WINDOW_S = 3.0
_TOLERATED_CRASHES = 5
_FROM_S = 9.0
_LOADS = {
    'the fatal part first': part_crashes.Load(position='first'),
    'it in the middle': part_crashes.Load(position='middle'),
    'it second to last': part_crashes.Load(position='second to last'),
    'it behind a first part of few': part_crashes.Load(position='few'),
    'it behind varying first parts': part_crashes.Load(position='varying'),
    'it rarely': part_crashes.Load(fatal_per_s=0.5),
    'it, harmless for 12 seconds': part_crashes.Load(
        fatal_from_s=0.5, harmless_until_s=12.0
    ),
    'it, and a crash every 2.5 s': part_crashes.Load(share=0.1),
    'it, and crashes of 0.34 every 5 s': part_crashes.Load(
        share=0.34, every_s=5.0
    ),
    'it, and 48 instances': part_crashes.Load(
        instances=48, sound_per_s=240.0, gateways=40
    ),
    'no fatal part, and a crash every 2.5 s': part_crashes.Load(
        fatal=0, share=0.1
    ),
    'none, and crashes of 0.34 every 2 s': part_crashes.Load(
        fatal=0, share=0.34, every_s=2.0
    ),
    'none, 48 instances, a third crashes': part_crashes.Load(
        fatal=0,
        share=0.34,
        every_s=5.0,
        instances=48,
        sound_per_s=240.0,
        gateways=40,
    ),
}


@behave.given('an empty history of crashes')
def step_history(context):
    context.history = crash_history.CrashHistory()
    context.now = 1000.0
    context.numbers = itertools.count()
    context.crashed_at = []


@behave.given('an empty record of parts')
def step_record(context):
    step_history(context)
    context.register = suspicion.EndRegister({}, 0.0)
    context.parts = part_suspicion.PartSuspicion(context.register)


@behave.when('the part {part} is answered {seconds:d} seconds before')
def step_answered_before(context, part, seconds):
    # The history remembers answers with parts that were in a crash.
    request = _make_request(context, part)
    context.history.record_crash('i-old', context.now - 1000, [request])
    context.history.record_answer(_SERVICE, part, context.now - seconds)


@behave.when('{count:d} instances crash under {prompts}, {apart:g} s apart')
def step_crash(context, count, prompts, apart):
    for _ in range(count):
        context.now += apart
        _crash(context, prompts)


@behave.when(
    '{count:d} instances crash under {prompts}, {apart:g} s apart, as '
    '{gateways:d} gateways report'
)
def step_crash_reported(context, count, prompts, apart, gateways):
    _crash_reported(context, count, prompts, apart, gateways, 0.05)


@behave.when(
    '{count:d} instances crash under {prompts}, {apart:g} s apart, as '
    '{gateways:d} gateways report over {spread:g} s'
)
def step_crash_reported_late(context, count, prompts, apart, gateways, spread):
    _crash_reported(context, count, prompts, apart, gateways, spread)


@behave.when(
    '{count:d} crashes of one request with {prompt}, {apart:g} s apart'
)
def step_crash_same(context, count, prompt, apart):
    context.request = _make_request(context, prompt)
    for _ in range(count):
        context.now += apart
        instance = f'i-{next(context.numbers)}'
        context.history.record_crash(instance, context.now, [context.request])


@behave.when('that request turns out to be harmless')
def step_harmless(context):
    context.history.record_request_answer(
        context.request.fingerprint, context.now
    )


@behave.when('{count:d} instances of another service crash under {prompts}')
def step_crash_elsewhere(context, count, prompts):
    for _ in range(count):
        context.now += 1.0
        _crash(context, prompts, _OTHER_SERVICE)


@behave.when(
    'the part {part} is answered, by a request that began after {count:d} of '
    'them'
)
def step_answered(context, part, count):
    began_at = context.crashed_at[0] - 40.0
    if count:
        began_at = context.crashed_at[count - 1] + 0.1
    context.history.record_answer(_SERVICE, part, began_at)


@behave.when('the part {part} is answered at another service')
def step_answered_elsewhere(context, part):
    context.history.record_answer(_OTHER_SERVICE, part, context.now + 1.0)


@behave.when(
    '{count:d} crashes of requests with {parts:d} parts of their own are '
    'reported'
)
def step_many(context, count, parts):
    for _ in range(count):
        context.now += 0.01
        names = '+'.join(f'p-{next(context.numbers)}' for _ in range(parts))
        _crash(context, names)


@behave.when('{count:d} crashes under {prompts} are recorded')
def step_crash_recorded(context, count, prompts):
    for _ in range(count):
        context.now += 1.0
        instance = f'i-{next(context.numbers)}'
        context.parts.record_crash(
            instance, context.now, _make_requests(context, prompts)
        )
        context.latest = (instance, context.now, prompts)
    context.parts.update(context.now)


@behave.when(
    '{count:d} crashes under {prompts} are recorded, and gateways could reply'
)
def step_crash_and_reply(context, count, prompts):
    step_crash_recorded(context, count, prompts)
    step_reply(context)


@behave.when('gateways could reply')
def step_reply(context):
    context.now += _REPLY_S
    context.parts.update(context.now)


@behave.when('{seconds:d} seconds pass at the leader')
def step_pass(context, seconds):
    context.now += seconds


@behave.when('a gateway reports that {part} was answered since')
def step_reported(context, part):
    answer = part_suspicion.Answer(_SERVICE, part, context.now)
    context.parts.record_answers([answer])
    context.parts.update(context.now)


@behave.when(
    'a permit for {part} is requested each second of {hours:d} hours, and '
    'each run crashes'
)
def step_request_long(context, part, hours):
    started_at = context.latest[1]
    key = _part_set(part).key
    context.tried_at = []
    for second in range(1, hours * _HOUR_S):
        context.now = started_at + second
        decision = context.register.request_permit(
            key, 'g', context.now, lambda _: True
        )
        if decision.granted:
            context.tried_at.append(second)
            context.register.release_permit(key, 'g')
            context.parts.record_crash(
                f't-{second}', context.now, _make_requests(context, part)
            )
            context.parts.update(context.now)


@behave.when('a new leader loads the stored parts')
def step_new_leader(context):
    stored = {
        suspect.request: context.register.to_stored(suspect.request)
        for suspect in context.register.suspects()
    }
    context.register = suspicion.EndRegister(stored, context.now)
    context.parts = part_suspicion.PartSuspicion(context.register)


@behave.when('the latest of these crashes is reported to it again')
def step_reported_again(context):
    instance, at, prompts = context.latest
    context.parts.record_crash(instance, at, _make_requests(context, prompts))
    step_reply(context)


@behave.when('an operator clears {part}')
def step_clear(context, part):
    context.parts.clear(_part_set(part), context.now)
    context.parts.update(context.now)


@behave.then('the parts {parts} are blamed')
def step_blamed(context, parts):
    expected = set() if parts == '-' else set(parts.split(' and '))
    blamed = {
        '+'.join(blame.requests.parts) for blame in context.history.blame()
    }
    assert blamed == expected, blamed


@behave.then('no blame is for {part} alone')
def step_not_alone(context, part):
    blamed = [blame.requests.parts for blame in context.history.blame()]
    assert (part,) not in blamed, blamed


@behave.then('requests with {part} are blamed at both services')
def step_both(context, part):
    blamed = {
        (blame.requests.service, blame.requests.parts)
        for blame in context.history.blame()
    }
    assert blamed == {
        (_SERVICE, (part,)),
        (_OTHER_SERVICE, (part,)),
    }, blamed


@behave.then('{count:d} crashes are in the history')
def step_count(context, count):
    assert len(context.history) == count, len(context.history)


@behave.then('at most {limit:d} parts are in the history')
def step_size(context, limit):
    assert context.history.size <= limit, context.history.size


@behave.then('finding the blame takes less than {limit_ms:d} ms')
def step_time(context, limit_ms):
    started = time.process_time()
    context.history.blame()
    elapsed_ms = (time.process_time() - started) * 1000
    assert elapsed_ms < limit_ms, elapsed_ms


@behave.then('requests with {part} are barred')
def step_barred(context, part):
    assert _is_barred(context, part), context.register.suspects()


@behave.then('requests with {part} are not barred')
def step_not_barred(context, part):
    assert not _is_barred(context, part), context.register.suspects()


@behave.then('those that instances have are withdrawn')
def step_withdrawn(context):
    assert _are_withdrawn(context), context.register.suspects()


@behave.then('those that instances have are not withdrawn')
def step_not_withdrawn(context):
    assert not _are_withdrawn(context), context.register.suspects()


@behave.then('gateways are asked about {part}')
def step_asked(context, part):
    assert (_SERVICE, part) in context.parts.candidates


@behave.given('a fleet whose requests have {load}')
def step_fleet(context, load):
    context.load = _LOADS[load]


@behave.when('it is simulated with {seeds:d} seeds')
def step_simulate(context, seeds):
    context.fleets = []
    for seed in range(1, seeds + 1):
        fleet = part_crashes.Fleet(context.load, seed)
        fleet.play()
        context.fleets.append(fleet)


@behave.then(
    'requests with a fatal part crash {limit:d} instances at most, {mean:d} '
    'on average'
)
def step_crashes(context, limit, mean):
    crashes = [
        len(crashed_at)
        for fleet in context.fleets
        for crashed_at in fleet.crashes.values()
    ]
    assert max(crashes) <= limit, crashes
    assert sum(crashes) <= mean * len(crashes), crashes


@behave.then(
    'at most {limit:d} of them arrive 3 seconds after the fifth crash'
)
def step_late(context, limit):
    late = []
    for fleet in context.fleets:
        for part, crashed_at in fleet.crashes.items():
            since = crashed_at[:_TOLERATED_CRASHES][-1] + _CONTACT_WINDOW_S
            late.append(sum(at > since for at in fleet.arrived[part]))
    assert max(late) <= limit, late


@behave.then(
    'at most {limit:d} instances crash in all after the part is barred'
)
def step_crashes_after(context, limit):
    after = 0
    for fleet in context.fleets:
        for part, crashed_at in fleet.crashes.items():
            barred_at = next(at for at, text in fleet.barred if part in text)
            after += sum(at > barred_at for at in crashed_at)
    assert after <= limit, after


@behave.then('at most {limit:d} in 1000 other requests are refused')
def step_refused(context, limit):
    refused = sum(fleet.refused for fleet in context.fleets)
    sent = sum(sum(fleet.sent.values()) for fleet in context.fleets)
    assert refused <= limit / 1000 * sent, (refused, sent)


@behave.then(
    'at least {percent:d} in 100 others are served at first, 9 seconds later'
)
def step_served(context, percent):
    load = context.load
    begun_s = max(load.fatal_from_s, load.harmless_until_s)
    served = [
        fleet.served_share(begun_s + _FROM_S, load.length_s - 1)
        for fleet in context.fleets
    ]
    assert min(served) >= percent / 100, served


def _crash_reported(context, count, prompts, apart, gateways, spread):
    for _ in range(count):
        context.now += apart
        instance = f'i-{next(context.numbers)}'
        for gateway in range(gateways):
            request = _make_request(context, prompts.split('; ')[gateway])
            at = context.now + spread * gateway / gateways
            context.history.record_crash(instance, at, [request])


def _crash(context, prompts, service=_SERVICE):
    instance = f'i-{next(context.numbers)}'
    context.crashed_at.append(context.now)
    context.history.record_crash(
        instance, context.now, _make_requests(context, prompts, service)
    )


def _make_requests(context, prompts, service=_SERVICE):
    return [
        _make_request(context, prompt, service)
        for prompt in prompts.split('; ')
    ]


def _make_request(context, prompt, service=_SERVICE):
    """Return a request whose prompt has parts such as ``a+b``."""
    return traits.Traits(
        f'{next(context.numbers):032x}', service, 'a', tuple(prompt.split('+'))
    )


def _part_set(part):
    return traits.PartSet(service=_SERVICE, parts=(part,))


def _are_withdrawn(context):
    [suspect] = context.register.suspects()
    return suspect.is_withdrawn(context.now)


def _is_barred(context, part):
    request = _make_request(context, part)
    return any(
        suspect.part_set.matches(request) and suspect.is_barred(context.now)
        for suspect in context.register.suspects()
    )
