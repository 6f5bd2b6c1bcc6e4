"""Steps about gateway processes whose instances fall silent."""

import asyncio
import collections
import json
import signal

import behave

from features.steps import platform_steps
from features.support import busy_callers
from features.support import pausing_instances
from features.support import platform as platforms

_READY_TIMEOUT_S = 15.0
_EXIT_TIMEOUT_S = 12.0
# From the arrival of all requests until something happens to them.
_UNDER_WAY_S = 0.7
_SILENCE_S = 1.4
# From the silence to what happens meanwhile, and from its end to the next.
_MEANWHILE_S = 0.3
_CALM_S = 0.4
# Until an idle instance is left: four gaps of the route.
_GAP_TIMEOUT_S = 1.2
# For a connection, for timers, and for looking at a silent answer again.
_TOLERANCE_S = 1.0
_LOG_S = 0.3  # for the last lines to be written
_ROUTE = {
    'host': 'yard.example',
    'timeout_ms': busy_callers.DEADLINE_S * 1000,
    'target_latency_ms': 300,
    'gap_target_ms': 300,
    'priority': 0,
    'service': pausing_instances.SERVICE,
    'max_attempts': 2,
    'public': False,
}
_ROUTES = [
    {
        **_ROUTE,
        'name': 'r-stream',
        'path_prefix': pausing_instances.STREAM_PREFIX,
        'route_kind': 'streaming',
        'resumable': True,
    },
    {
        **_ROUTE,
        'name': 'r-plain',
        'path_prefix': '/app/',
        'route_kind': 'idempotent',
    },
]
_EVENTS = (
    'attempt_failed',
    'allowance_spent',
    'request_broken',
    'request_refused',
    'instance_avoided',
    'silent_answer_awaited',
)


@behave.given(
    'a platform of three gateways and {count:d} instances that can fall silent'
)
def step_platform(context, count):
    context.platform = platforms.Platform(context.folder)
    context.run(context.platform.start())
    context.to_stop.append(context.platform.stop)
    context.instances = pausing_instances.PausingInstances(
        context.platform, count
    )
    context.run(context.instances.start())
    context.to_stop.append(context.instances.stop)
    context.version = 0
    context.run(_configure(context))
    platform_steps.check_ready(
        context, context.platform.nodes, _READY_TIMEOUT_S
    )


@behave.given('{count:d} callers at each gateway read one stream')
def step_streams(context, count):
    _start(context, count, pausing_instances.STREAM_PREFIX, is_once=True)


@behave.given(
    '{count:d} callers at each gateway read one stream after another'
)
def step_streams_in_series(context, count):
    _start(context, count, pausing_instances.STREAM_PREFIX)


@behave.given(
    '{count:d} callers at each gateway send one request after another'
)
def step_requests_in_series(context, count):
    _start(context, count, '/app/')


@behave.when('gateway {number:d} gets SIGTERM')
def step_terminate(context, number):
    _terminate(context, number)


@behave.when('all instances are silent for {seconds:g} s')
def step_all_silent(context, seconds):
    _fall_silent(context, 0.0, seconds)


@behave.when('all instances are silent for {seconds:g} s, from {after:g} s on')
def step_all_silent_later(context, seconds, after):
    _fall_silent(context, after, seconds)


def _fall_silent(context, after_s, silence_s):
    names = context.instances.names

    async def fall_silent():
        await asyncio.sleep(after_s)
        context.instances.silence(names)
        await asyncio.sleep(silence_s)
        context.instances.resume(names)

    context.run(fall_silent())


@behave.when('{count:d} of the instances are silent for good')
def step_silent_for_good(context, count):
    context.silent_since = context.run(_loop_time())
    context.instances.silence(context.instances.names[:count])


@behave.when('the instances fall silent, and each time one of these follows')
def step_series(context):
    groups = {
        'all': context.instances.names,
        'one': context.instances.names[:1],
        'another': context.instances.names[1:2],
    }

    async def play():
        for row in context.table:
            names = groups[row['silent']]
            context.instances.silence(names)
            await asyncio.sleep(_MEANWHILE_S)
            await _CHANGES[row['change']](context)
            await asyncio.sleep(_SILENCE_S - _MEANWHILE_S)
            context.instances.resume(names)
            await asyncio.sleep(_CALM_S)

    context.run(play())


@behave.then('gateway {number:d} exits with code 0')
def step_exits(context, number):
    process = context.platform.node(number).process

    async def wait():
        async with asyncio.timeout(_EXIT_TIMEOUT_S):
            while process.poll() is None:
                await asyncio.sleep(0.05)

    context.run(wait())
    assert process.poll() == 0, process.poll()


@behave.then('every stream is whole')
def step_all_whole(context):
    _check_all_whole(context)


@behave.then('every request is answered')
def step_all_answered(context):
    _check_all_whole(context)


@behave.then('every stream ran once')
def step_once(context):
    arrived_at = context.instances.arrived_at
    repeated = [name for name, times in arrived_at.items() if len(times) > 1]
    assert not repeated, repeated


@behave.then('the other instances got those of the silent one in time')
def step_repeated_in_time(context):
    taken_s = [
        times[1] - context.silent_since
        for times in context.instances.arrived_at.values()
        if len(times) > 1
    ]
    assert taken_s and max(taken_s) <= _GAP_TIMEOUT_S + _TOLERANCE_S, taken_s


@behave.then('none is cut before its deadline')
def step_not_cut_before(context):
    context.run(_finish(context))
    cut = [
        result
        for result in _find_broken(context)
        if result.took_s < busy_callers.DEADLINE_S
    ]
    assert not cut, cut


@behave.then('each that is cut had no retry left')
def step_no_retry_left(context):
    lines = _read_lines(context)
    without_budget = {
        fields['request']
        for fields in lines
        if fields['event'] == 'request_broken'
        and fields.get('no_retry') == 'no_budget_left'
    }
    # Two attempts are allowed.
    repeated = {
        fields['request']
        for fields in lines
        if fields['event'] == 'attempt_failed' and fields['code'] == 'HP-3014'
    }
    cut_ids = {result.request_id for result in _find_broken(context)}
    assert cut_ids <= without_budget | repeated, (
        cut_ids - without_budget - repeated
    )


def _start(context, count, path, *, is_once=False):
    context.callers = busy_callers.Callers(context.platform, path)

    async def start():
        context.callers.start(count, is_once=is_once)
        async with asyncio.timeout(_READY_TIMEOUT_S):
            total = count * len(context.platform.nodes)
            while len(context.instances.arrived_at) < total:
                await asyncio.sleep(0.01)
        await asyncio.sleep(_UNDER_WAY_S)

    context.run(start())


def _check_all_whole(context):
    context.run(_finish(context))
    broken = _find_broken(context)
    assert not broken, broken


async def _loop_time():
    return asyncio.get_running_loop().time()


async def _finish(context):
    await context.callers.finish()
    await asyncio.sleep(_LOG_S)
    print(_summary(context))


def _find_broken(context):
    """Return the accepted requests without a whole answer."""
    return [
        result
        for result in context.callers.results
        if result.outcome in ('cut', 'failed')
        or (
            result.outcome == 'closed'
            and result.request_id in context.instances.arrived_at
        )
    ]


def _read_lines(context):
    return [
        json.loads(line)
        for node in context.platform.nodes
        for line in node.log.read_text(encoding='utf-8').splitlines()
        if line.startswith('{')
    ]


def _summary(context):
    """Return what happened, so that runs can be compared."""
    lines = collections.Counter(
        f'{fields["event"]} {fields.get("code") or fields.get("reason", "")}'
        for fields in _read_lines(context)
        if fields['event'] in _EVENTS
    )
    counts = dict(context.callers.count())
    cut_s = [
        round(result.took_s, 1)
        for result in context.callers.results
        if result.outcome == 'cut'
    ]
    spread = f', cut after {min(cut_s)} to {max(cut_s)} s' if cut_s else ''
    longest_s = context.callers.longest_s()
    return f'{counts}, whole up to {longest_s:.1f} s{spread}, {dict(lines)}'


async def _configure(context):
    context.version += 1
    status = await context.platform.replace_configuration(
        {
            'version': context.version,
            'routes': _ROUTES,
            'limits': {'idle_timeout_ms': 15000 + context.version},
        }
    )
    assert status == 200, status


def _terminate(context, number):
    node = context.platform.node(number)
    context.platform.send_signal(node, signal.SIGTERM)


async def _stop_gateway(context, number):
    _terminate(context, number)


async def _reload(context, number):
    context.platform.reload_settings(context.platform.node(number))


async def _start_again(context, number):
    node = context.platform.node(number)
    while node.process.poll() is None:
        await asyncio.sleep(0.05)
    context.platform.launch(node)


_CHANGES = {
    'the configuration changes': _configure,
    'gateway 3 gets SIGTERM': lambda context: _stop_gateway(context, 3),
    'gateway 2 gets SIGTERM': lambda context: _stop_gateway(context, 2),
    'gateway 1 reloads its settings': lambda context: _reload(context, 1),
    'gateway 3 starts again': lambda context: _start_again(context, 3),
}
