"""The promises, checked against what was seen.

Each check is a function under :func:`promise` that yields a sentence for
each violation.
"""

import collections
import collections.abc
import json

from soak import records as soak_records

# Of the platforms' pages, in seconds: how long a configuration may take to
# be in force, and a key that was taken away to die.
_IN_FORCE_S = 2.0
_REVOKED_S = 5.0
# A loop of ours that is busy hands out times a little late.
_SLACK_S = 0.5
# Before the list says it, a disturbance delays what a gateway knows.
_LAG_S = 6.0
# After its deadline a caller is owed a final answer by then; the nodes of a
# busy machine are slower than those of the platforms.
_LATE_S = 2.0
# How often what ended three instances may reach others afterwards.
_ENDS_BARRED = 3
_MOST_AFTER = 3
_NOT_RUN = (408, 421, 429, 503)
_SERVED_SHARE = 0.9  # at least, once everything is calm again

Check = collections.abc.Callable[
    [soak_records.Records], collections.abc.Iterator[str]
]
_CHECKS: list[Check] = []


def promise(check: Check) -> Check:
    """Enter a check."""
    _CHECKS.append(check)
    return check


def violations(found: soak_records.Records) -> list[str]:
    """Return a sentence for each broken promise."""
    broken = list(found.notes)
    for check in _CHECKS:
        broken += [f'{check.__name__}: {text}' for text in check(found)]
    return broken


@promise
def answers_are_whole(
    found: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for one in found.ended:
        if one.problem:
            yield f'{one.request_id} ({one.kind}): {one.problem}'


@promise
def what_must_not_repeat_runs_once(
    found: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for one in found.ended:
        runs = found.runs_of(one.request_id)
        if one.kind in ('file', 'talk') and len(runs) > 1:
            yield f'{one.request_id} ({one.kind}) ran {len(runs)} times'


@promise
def not_run_is_true(
    found: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for one in found.ended:
        if one.status in _NOT_RUN and found.runs_of(one.request_id):
            yield f'{one.request_id} got {one.status}, and has run'


@promise
def only_what_was_sent_runs(
    found: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for request_id in found.runs:
        if request_id not in found.asked:
            yield f'{request_id} ran, and no caller sent it'


@promise
def requests_end_in_time(
    found: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for one in found.ended:
        until = one.sent + one.took_s
        late = one.took_s > _LATE_S + _deadline_s(one)
        if late and not found.is_disturbed(one.sent, until, one.node):
            yield f'{one.request_id} ended after {one.took_s:.1f} s'


def _deadline_s(one: soak_records.Ended) -> float:
    return float(one.request_id.rpartition('-')[2]) / 1000


@promise
def a_revoked_key_dies(
    found: soak_records.Records,
) -> collections.abc.Iterator[str]:
    dead: dict[str, float] = {}
    newest: soak_records.Accepted | None = None
    for accepted in found.accepted:
        if newest is not None and accepted.version < newest.version:
            continue
        for key in newest.keys - accepted.keys if newest else ():
            dead.setdefault(key, accepted.at + _REVOKED_S + _SLACK_S)
        newest = accepted
    for one in found.ended:
        if one.sent > dead.get(one.key, float('inf')):
            if found.runs_of(one.request_id):
                yield f'{one.request_id} ran with the revoked key {one.key}'


@promise
def a_configuration_never_reverts(
    found: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for at, node, text in found.reads:
        version = json.loads(text)['version']
        newest = max(
            (
                accepted.version
                for accepted in found.accepted
                if accepted.at < at - _IN_FORCE_S - _SLACK_S
            ),
            default=0,
        )
        if version < newest:
            yield f'{node} read {version} after {newest} was acknowledged'


@promise
def what_was_acknowledged_is_there(
    found: soak_records.Records,
) -> collections.abc.Iterator[str]:
    newest = max((one.version for one in found.accepted), default=0)
    if found.final_read is None:
        yield 'the configuration cannot be read at the end'
        return
    version = json.loads(found.final_read)['version']
    if version < newest:
        yield f'version {newest} was acknowledged, {version} is there'
    if found.final_read not in found.sent[version]:
        yield f'version {version} is not what was sent under its number'


@promise
def an_instance_that_is_gone_gets_nothing(
    found: soak_records.Records,
) -> collections.abc.Iterator[str]:
    gone = dict(found.gone)
    for runs in found.runs.values():
        for run in runs:
            since = gone.get(run.instance, float('inf'))
            calm = not found.is_disturbed(since - _LAG_S, run.at)
            if run.at > since and calm:
                yield f'{run.request_id} ran on {run.instance}, which was gone'


@promise
def what_instances_ask_for_is_kept(
    found: soak_records.Records,
) -> collections.abc.Iterator[str]:
    nodes = {one.request_id: one.node for one in found.ended}
    wishes = collections.defaultdict(list)
    for wish in found.wishes:
        node = nodes.get(wish.request_id)
        if node is not None:
            wishes[wish.instance, node].append(wish)
    for arrival in found.arrivals:
        node = nodes.get(arrival.request_id)
        for wish in wishes.get((arrival.instance, node), ()):
            after_s = arrival.at - wish.at
            calm = not found.is_disturbed(wish.at, arrival.at, node)
            if wish.since_s + _SLACK_S < after_s < wish.until_s and calm:
                yield (
                    f'{arrival.request_id} reached {arrival.instance} from '
                    f'{node} {after_s:.1f} s after it had asked for nothing'
                )
                break


@promise
def what_ends_instances_is_refused(
    found: soak_records.Records,
) -> collections.abc.Iterator[str]:
    if len(found.ends) < _ENDS_BARRED:
        return
    known = sorted(found.ends)[_ENDS_BARRED - 1] + _LAG_S
    later = [
        run.at
        for request_id, runs in found.runs.items()
        for run in runs
        if request_id.startswith('ending')
        and run.at > known
        and not found.is_disturbed(run.at - _LAG_S, run.at)
    ]
    if len(later) > _MOST_AFTER:
        yield f'{len(later)} runs after three ends; {len(found.ends)} ends'


@promise
def service_comes_back(
    found: soak_records.Records,
) -> collections.abc.Iterator[str]:
    late = [one for one in found.ended if one.sent > found.calm_since]
    served = sum(one.status == 200 for one in late)
    if not late or served < _SERVED_SHARE * len(late):
        yield f'{served} of {len(late)} requests are served after the faults'
