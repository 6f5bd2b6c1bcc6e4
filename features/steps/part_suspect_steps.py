"""Steps about a router that tracks suspects with certain prompt parts."""

import asyncio
import itertools

import behave

from honeyport import errors
from honeyport.policy import traits
from honeyport.router import suspects
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

_SERVICE = 'llm'
_ANSWER_INTERVAL_S = 0.02


@behave.given('a tracker of suspects with a stream to a leader')
def step_tracker(context):
    context.tracker = suspects.SuspectTracker(metrics.Metrics())
    context.items = []
    context.grants = False
    context.numbers = itertools.count()
    context.tracker.set_sender(lambda item: _receive(context, item))


@behave.when('the leader bars requests with the parts {parts} for {pause:d} s')
def step_barred(context, parts, pause):
    message = pb.Suspects()
    _add_set(message, parts, barred=True, back_ms=pause * 1000)
    context.run(_apply(context, message))


@behave.when(
    'the leader holds requests with the part {part} to a permit, and grants it'
)
def step_held(context, part):
    context.grants = True
    message = pb.Suspects()
    _add_set(message, part)
    context.run(_apply(context, message))


@behave.when('the leader asks about the parts {parts}')
def step_asked(context, parts):
    message = pb.Suspects()
    for part in parts.split('+'):
        message.candidates.add(service=_SERVICE, part=part)
    context.run(_apply(context, message))


@behave.when(
    'a request with the parts {parts} that began {age:d} s before is answered'
)
def step_answered(context, parts, age):
    context.run(_answer(context, parts, age))


@behave.when('{count:d} requests with the parts {parts} are answered')
def step_answered_often(context, count, parts):
    for _ in range(count):
        context.run(_answer(context, parts, 0.0))


@behave.when('requests with the parts {parts} are answered for {duration:g} s')
def step_answered_for(context, parts, duration):
    context.run(_answer_for(context, parts, duration))


@behave.when('requests with a million parts in all are answered')
def step_answered_million(context):
    context.run(_answer_million(context))


@behave.when('a stream to another leader is opened')
def step_other_leader(context):
    context.run(_open_stream(context))


@behave.when(
    'an instance ends under {count:d} requests with {parts:d} parts each'
)
def step_end(context, count, parts):
    requests = frozenset(
        _make_request(
            context,
            '+'.join(f'p-{next(context.numbers)}' for _ in range(parts)),
        )
        for _ in range(count)
    )
    context.run(_end(context, requests))


@behave.then('a request with the parts {parts} is admitted')
def step_admitted(context, parts):
    context.run(_admit(context, _make_request(context, parts)))


@behave.then('a request of another service with the parts {parts} is admitted')
def step_other_admitted(context, parts):
    request = _make_request(context, parts, 'other-llm')
    context.run(_admit(context, request))


@behave.then('a request with the parts {parts} is refused for {pause:d} s')
def step_refused(context, parts, pause):
    try:
        context.run(_admit(context, _make_request(context, parts)))
    except errors.RequestBarred as error:
        assert error.ran is False
        assert pause - 1 < error.retry_after <= pause, error.retry_after
        return
    raise AssertionError('it was admitted')


@behave.then('a permit was requested and released')
def step_permit(context):
    kinds = [item.WhichOneof('item') for item in context.items]
    assert kinds == ['permit', 'release'], kinds


@behave.then('no answers are reported')
def step_none_reported(context):
    assert not context.items, context.items


@behave.then(
    '{count:d} answers are reported, the latest with {part} that began '
    '{age:g} s before'
)
def step_reported(context, count, part, age):
    answers = _reported(context)
    assert len(answers) == count, answers
    assert answers[-1].part == part, answers
    assert abs(answers[-1].age_ms / 1000 - age) < 0.5, answers


@behave.then('from {low:d} to {high:d} answers are reported')
def step_reported_between(context, low, high):
    assert low <= len(_reported(context)) <= high, len(_reported(context))


@behave.then('its report has {count:d} requests, and at most {limit:d} parts')
def step_report_size(context, count, limit):
    [item] = context.items
    [end] = item.ends.ends
    assert len(end.requests) == count, len(end.requests)
    parts = sum(len(prompt.parts) for prompt in end.prompts)
    assert 0 < parts <= limit, parts


@behave.then('answers with at most {limit:d} parts are kept')
def step_kept(context, limit):
    kept = context.tracker.part_answer_count
    assert 0 < kept <= limit, kept


def _receive(context, item):
    """Receive an item as the leader."""
    context.items.append(item)
    if context.grants and item.HasField('permit'):
        answer = pb.PermitAnswer(id=item.permit.id, granted=True)
        asyncio.get_running_loop().call_soon(
            context.tracker.resolve_permit, answer
        )
    return True


def _add_set(message, parts, **fields):
    part_set = traits.PartSet(service=_SERVICE, parts=tuple(parts.split('+')))
    message.suspects.add(
        request=bytes.fromhex(part_set.key),
        ends=3,
        set=pb.PartSet(service=_SERVICE, parts=part_set.parts),
        **fields,
    )


def _make_request(context, parts, service=_SERVICE):
    return traits.Traits(
        f'{next(context.numbers):032x}', service, 'a', tuple(parts.split('+'))
    )


def _reported(context):
    return [
        answer
        for item in context.items
        for answer in item.part_answers.answers
    ]


async def _apply(context, message):
    context.tracker.apply(message)


async def _answer(context, parts, age):
    now = asyncio.get_running_loop().time()
    request = _make_request(context, parts)
    context.tracker.record_success(request, now - age)


async def _answer_for(context, parts, duration):
    loop = asyncio.get_running_loop()
    until = loop.time() + duration
    while loop.time() < until:
        await _answer(context, parts, 0.0)
        await asyncio.sleep(_ANSWER_INTERVAL_S)


async def _answer_million(context):
    now = asyncio.get_running_loop().time()
    for number in range(5000):
        parts = '+'.join(f'p-{number}-{part}' for part in range(200))
        context.tracker.record_success(_make_request(context, parts), now)


async def _open_stream(context):
    assert not context.tracker.initial_items()


async def _end(context, requests):
    now = asyncio.get_running_loop().time()
    context.tracker.record_end('i-1', requests, now)


async def _admit(context, request):
    async with context.tracker.admit(request, lambda release: release()):
        pass
