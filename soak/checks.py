"""Checks of the invariants against the records of a soak.

Each check is a function under :func:`invariant` that yields a message for
each violation.
"""

import collections
import collections.abc
import json

from soak import records as soak_records
from soak import site as soak_site

# Limits until a configuration is in force and until a removed key is rejected.
_PROPAGATION_LIMIT_S = 2.0
_KEY_REVOCATION_LIMIT_S = 5.0
_CLOCK_TOLERANCE_S = 0.5
# A disturbance this long before an event may delay what a gateway knows.
_KNOWLEDGE_DELAY_S = 6.0
# From the deadline of a request until the caller must have a final response.
_DEADLINE_TOLERANCE_S = 2.0
_CRASHES_BEFORE_BLOCK = 3  # after which the request has to be refused
_MAX_EXECUTIONS_AFTER_BLOCK = 3
# After which requests with a prompt part have to be refused.
_PART_CRASHES_BEFORE_BLOCK = 5
_PART_BLOCK_DELAY_S = 3.0
_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
_CUT_STATUSES = (0, 502, 504)
# Fewer streams that were taken up say nothing.
_MIN_TAKEN_UP = 12
_MIN_TAKEN_UP_RATIO = 0.5  # of the share of new streams that begin
# Kinds of requests that must not be repeated.
_RUN_ONCE = ('file', 'talk', 'desk')
# Requests that a keeper grants to an instance beyond its slots.
_EXTRA_REQUESTS = 1
# Without a keeper, gateways send without grants. So long after the last
# disturbance, which includes the time until another keeper grants, the
# requests of that time have ended.
_DIRECT_SENDS_S = 1.5
_MIN_SERVED_SHARE = 0.9  # of the requests sent after the recovery

Check = collections.abc.Callable[
    [soak_records.Records], collections.abc.Iterator[str]
]
_CHECKS: list[Check] = []


def invariant(check: Check) -> Check:
    """Register the check of an invariant."""
    _CHECKS.append(check)
    return check


def violations(records: soak_records.Records) -> list[str]:
    """Return a message for each violation, prefixed with its check."""
    messages = list(records.violations)
    for check in _CHECKS:
        messages += [f'{check.__name__}: {text}' for text in check(records)]
    return messages


@invariant
def responses_are_complete(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for result in records.results:
        is_excused = (
            result.problem == soak_records.ENDED_EARLY
            and result.request_id in records.closed_without_framing
        )
        if result.problem and not is_excused:
            yield f'{result.request_id} ({result.kind}): {result.problem}'


@invariant
def streams_hold_one_version(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for stream in records.streams:
        if len(stream.versions) > 1:
            yield (
                f'{stream.request_id} has events of versions '
                f'{sorted(stream.versions)}'
            )


@invariant
def streams_that_are_taken_up_go_on(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    new = [result for result in records.results if result.kind == 'chat']
    began = sum(result.status == 200 for result in new)
    taken_up = [
        stream.went_on
        for stream in records.streams
        if stream.has_instances
        and not records.is_disturbed(
            stream.sent_at - _KNOWLEDGE_DELAY_S, stream.sent_at, stream.node
        )
    ]
    if len(taken_up) < _MIN_TAKEN_UP:
        return
    share = sum(taken_up) / len(taken_up)
    if share < _MIN_TAKEN_UP_RATIO * began / len(new):
        yield (
            f'{sum(taken_up)} of {len(taken_up)} streams went on; '
            f'{began} of {len(new)} began'
        )


@invariant
def non_repeatable_requests_execute_once(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for result in records.results:
        executions = records.executions_of(result.request_id)
        if result.kind in _RUN_ONCE and len(executions) > 1:
            yield (
                f'{result.request_id} ({result.kind}) was executed '
                f'{len(executions)} times'
            )


@invariant
def not_executed_status_is_true(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for result in records.results:
        if result.status in _NOT_EXECUTED_STATUSES and records.executions_of(
            result.request_id
        ):
            yield f'{result.request_id} got {result.status}, but was executed'


@invariant
def only_sent_requests_execute(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for request_id in records.executions:
        if request_id not in records.sent_request_ids:
            yield f'{request_id} was executed, but never sent'


@invariant
def requests_meet_their_deadline(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for result in records.results:
        ended_at = result.sent_at + result.duration_s
        is_late = result.duration_s > _DEADLINE_TOLERANCE_S + _deadline_s(
            result
        )
        if is_late and not records.is_disturbed(
            result.sent_at, ended_at, result.node
        ):
            yield f'{result.request_id} took {result.duration_s:.1f} s'


@invariant
def silence_cuts_no_request(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for result in records.results:
        silence = find_left_silence(records, result)
        ended_at = result.sent_at + result.duration_s
        limit_s = min(_deadline_s(result), soak_site.ROUTE_TIMEOUT_MS / 1000)
        if (
            silence
            and result.duration_s < limit_s
            and not records.is_disturbed(
                result.sent_at, ended_at, result.node, by_planned=False
            )
        ):
            yield (
                f'{result.request_id} got {result.status} and no whole '
                f'answer from {result.node} after {result.duration_s:.2f} s, '
                f'left at {silence.instance}, which was silent'
            )


def find_left_silence(
    records: soak_records.Records, result: soak_records.RequestResult
) -> soak_records.Silence | None:
    """Return the silence in which the last run of a request was left.

    :returns: ``None`` if its answer is whole, or it ended elsewhere
    """
    is_answered = result.is_whole and result.status not in _CUT_STATUSES
    silences = records.silences.get(result.request_id, ())
    executions = records.executions_of(result.request_id)
    if is_answered or not silences or silences[-1].left_at is None:
        return None
    # Another attempt followed.
    if executions[-1].instance != silences[-1].instance:
        return None
    return silences[-1]


def _deadline_s(result: soak_records.RequestResult) -> float:
    return float(result.request_id.rpartition('-')[2]) / 1000


@invariant
def revoked_keys_are_rejected(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    revoked_at: dict[str, float] = {}
    newest: soak_records.AcceptedConfiguration | None = None
    for accepted in records.accepted:
        if newest is not None and accepted.version < newest.version:
            continue
        for key in newest.keys - accepted.keys if newest else ():
            revoked_at.setdefault(
                key,
                accepted.time + _KEY_REVOCATION_LIMIT_S + _CLOCK_TOLERANCE_S,
            )
        newest = accepted
    for result in records.results:
        if result.sent_at > revoked_at.get(result.key, float('inf')):
            if records.executions_of(result.request_id):
                yield (
                    f'{result.request_id} was executed with the revoked key '
                    f'{result.key}'
                )


@invariant
def configuration_never_reverts(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for read_time, node, text in records.configuration_reads:
        version = json.loads(text)['version']
        newest = max(
            (
                accepted.version
                for accepted in records.accepted
                if accepted.time
                < read_time - _PROPAGATION_LIMIT_S - _CLOCK_TOLERANCE_S
            ),
            default=0,
        )
        if version < newest:
            yield f'{node} read {version} after {newest} was acknowledged'


@invariant
def acknowledged_configuration_is_kept(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    newest = max(
        (accepted.version for accepted in records.accepted), default=0
    )
    if records.final_configuration is None:
        yield 'no node returns the configuration after the faults'
        return
    version = json.loads(records.final_configuration)['version']
    if version < newest:
        yield f'version {newest} was acknowledged, but {version} is in force'
    if records.final_configuration not in records.sent_configurations[version]:
        yield f'version {version} differs from the one that was sent'


@invariant
def removed_instances_get_no_requests(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    removal_times = dict(records.removed_instances)
    for executions in records.executions.values():
        for execution in executions:
            removed_at = removal_times.get(execution.instance, float('inf'))
            undisturbed = not records.is_disturbed(
                removed_at - _KNOWLEDGE_DELAY_S, execution.time
            )
            if execution.time > removed_at and undisturbed:
                yield (
                    f'{execution.request_id} was executed on '
                    f'{execution.instance}, which was removed'
                )


@invariant
def backoff_windows_are_respected(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    nodes = {result.request_id: result.node for result in records.results}
    windows = collections.defaultdict(list)
    for window in records.backoff_windows:
        node = nodes.get(window.request_id)
        if node is not None:
            windows[window.instance, node].append(window)
    for arrival in records.arrivals:
        node = nodes.get(arrival.request_id)
        for window in windows.get((arrival.instance, node), ()):
            elapsed_s = arrival.time - window.time
            undisturbed = not records.is_disturbed(
                window.time, arrival.time, node
            )
            if (
                window.start_s + _CLOCK_TOLERANCE_S < elapsed_s < window.end_s
                and undisturbed
            ):
                yield (
                    f'{arrival.request_id} reached {arrival.instance} from '
                    f'{node} {elapsed_s:.1f} s after it asked for no requests'
                )
                break


@invariant
def requests_that_crash_instances_are_blocked(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    if len(records.crash_times) < _CRASHES_BEFORE_BLOCK:
        return
    blocked_at = (
        sorted(records.crash_times)[_CRASHES_BEFORE_BLOCK - 1]
        + _KNOWLEDGE_DELAY_S
    )
    late_executions = [
        execution.time
        for request_id, executions in records.executions.items()
        for execution in executions
        if request_id in records.fatal_request_ids
        and execution.time > blocked_at
        and not records.is_disturbed(
            execution.time - _KNOWLEDGE_DELAY_S, execution.time
        )
    ]
    if len(late_executions) > _MAX_EXECUTIONS_AFTER_BLOCK:
        yield (
            f'{len(late_executions)} executions after the third crash; '
            f'{len(records.crash_times)} crashes'
        )


@invariant
def parts_that_crash_instances_are_blocked(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for part, crash_times in records.part_crashes.items():
        if len(crash_times) < _PART_CRASHES_BEFORE_BLOCK:
            continue
        blocked_at = (
            sorted(crash_times)[_PART_CRASHES_BEFORE_BLOCK - 1]
            + _PART_BLOCK_DELAY_S
        )
        late_arrivals = [
            at
            for at in records.part_arrivals[part]
            if at > blocked_at
            and not records.is_disturbed(at - _KNOWLEDGE_DELAY_S, at)
        ]
        if len(late_arrivals) > _MAX_EXECUTIONS_AFTER_BLOCK:
            yield (
                f'{len(late_arrivals)} arrivals with part {part} after the '
                f'fifth crash; {len(crash_times)} crashes'
            )


def held_under_grants(
    records: soak_records.Records,
) -> list[soak_records.Held]:
    """Return what instances held while a keeper granted all slots."""
    return [
        held
        for held in records.held_by_instances
        if held.time >= records.queues_expected_at
        and not records.is_disturbed(held.time - _DIRECT_SENDS_S, held.time)
    ]


@invariant
def instances_hold_what_was_granted(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for held in held_under_grants(records):
        allowed = held.slots + _EXTRA_REQUESTS
        if held.requests > allowed:
            yield (
                f'{held.instance} held {held.requests} requests, '
                f'{allowed} are allowed'
            )


@invariant
def memory_is_bounded(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    for name, peak_mb in records.peak_memory_mb.items():
        if peak_mb > soak_site.MEMORY_MB:
            yield f'{name} used {peak_mb:.0f} MB'


@invariant
def service_recovers(
    records: soak_records.Records,
) -> collections.abc.Iterator[str]:
    results = [
        result
        for result in records.results
        if result.sent_at > records.recovery_deadline
    ]
    served = sum(result.status == 200 for result in results)
    if not results or served < _MIN_SERVED_SHARE * len(results):
        yield (
            f'{served} of {len(results)} requests were served after the '
            'recovery'
        )
