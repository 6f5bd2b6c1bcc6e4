"""Summarize failed and slow requests from log lines.

Requests are counted by outcome for each second, route and instance: served,
slow, refused, broken (no complete answer) or left (the caller disconnected).
A request is slow if the time to its first byte exceeds a limit; it is
attributed to the stage that took most of that time.
"""

import collections
import collections.abc
import statistics
import typing

import attrs

from honeyport.telemetry import lines

SERVED = 'served'
SLOW = 'slow'
_OUTCOMES_BY_EVENT = {
    'request_served': SERVED,
    'request_refused': 'refused',
    'request_broken': 'broken',
    'request_abandoned': 'left',
}
_COLUMNS = (SERVED, SLOW, 'refused', 'broken', 'left')
_MAX_RANKED_ROWS = 20

Counts = collections.Counter[str]


@attrs.define
class Losses:
    """Counts of requests by outcome.

    :ivar seconds: second as ``HH:MM:SS`` to counts by outcome
    :ivar routes: route to counts by outcome
    :ivar instances: logging instance to counts by outcome
    :ivar reasons: outcome and error code to the number of failed requests
    :ivar stages: slowest stage to the number of slow requests
    :ivar queue_reasons: why requests got no slot of a shared queue, to their
        number
    :ivar forecast_errors_ms: differences between the forecast and the true
        wait of those that got one
    :ivar paused: route to the number of served streams whose longest pause
        between two events exceeded the objective of the route
    """

    seconds: dict[str, Counts] = attrs.field(factory=dict)
    routes: dict[str, Counts] = attrs.field(factory=dict)
    instances: dict[str, Counts] = attrs.field(factory=dict)
    reasons: Counts = attrs.field(factory=collections.Counter)
    stages: Counts = attrs.field(factory=collections.Counter)
    queue_reasons: Counts = attrs.field(factory=collections.Counter)
    forecast_errors_ms: list[float] = attrs.field(factory=list)
    paused: Counts = attrs.field(factory=collections.Counter)

    def record(self, fields: lines.Fields, slow_ms: float) -> None:
        """Count a log line if it is about the end of a request."""
        if fields.get('origin'):
            return  # the line of the gateway that the caller chose counts
        outcome = _OUTCOMES_BY_EVENT.get(fields['event'])
        if outcome is None:
            return
        self._record_queue(fields)
        first_ms = fields.get('first_ms') or 0.0
        if outcome == SERVED and _is_paused(fields):
            self.paused[fields.get('route', '-')] += 1
        if outcome == SERVED and first_ms > slow_ms:
            outcome = SLOW
            self.stages[slowest_stage(fields)] += 1
        if outcome not in (SERVED, SLOW):
            code = fields.get('code', '')
            self.reasons[f'{outcome} {code}'.strip()] += 1
        second = fields['timestamp'].strftime('%H:%M:%S')
        for table, key in (
            (self.seconds, second),
            (self.routes, fields.get('route', '-')),
            (self.instances, fields.get('instance', '-')),
        ):
            table.setdefault(key, collections.Counter())[outcome] += 1

    def _record_queue(self, fields: lines.Fields) -> None:
        reason = fields.get('queue_reason')
        if reason:
            self.queue_reasons[reason] += 1
            return
        forecast_ms = fields.get('forecast_ms')
        # The wait is the sum of all attempts, the forecast that of the last.
        if forecast_ms is not None and (fields.get('offers') or 1) <= 1:
            queued_ms = fields.get('queued_ms') or 0.0
            self.forecast_errors_ms.append(queued_ms - forecast_ms)


def _is_paused(fields: lines.Fields) -> bool:
    pause_ms, gap_ms = fields.get('pause_ms'), fields.get('gap_ms')
    return bool(pause_ms and gap_ms and pause_ms > gap_ms)


def slowest_stage(fields: lines.Fields) -> str:
    """Return the stage that took most of the time to the first byte."""
    waited_ms = fields.get('waited_ms') or 0.0
    connect_ms = fields.get('connect_ms') or 0.0
    queued_ms = fields.get('queued_ms') or 0.0
    remaining_ms = (
        (fields.get('first_ms') or 0.0) - waited_ms - connect_ms - queued_ms
    )
    if queued_ms > max(waited_ms, connect_ms, remaining_ms):
        return 'waited for a slot'
    if waited_ms >= max(connect_ms, remaining_ms):
        return 'waited for the lease'
    if connect_ms >= remaining_ms:
        return 'connecting to instances'
    if (fields.get('offers') or 1) > 1:
        return 'several offers'
    backend = fields.get('backend', '-')
    if fields.get('source'):
        return f'instance {backend}, copying from {fields["source"]}'
    return f'instance {backend}'


def summarize(
    sources: collections.abc.Iterable[typing.Iterable[str]], slow_ms: float
) -> Losses:
    """Return the counts of all lines in logs.

    :param slow_ms: time to the first byte above which a request is slow
    """
    losses = Losses()
    for source in sources:
        for text in source:
            fields = lines.parse(text)
            if fields is not None:
                losses.record(fields, slow_ms)
    return losses


def run(logs: tuple[str, ...], slow_ms: float) -> str:
    """Return a summary of logs as text tables.

    :param logs: paths of files; standard input if there are none
    :param slow_ms: time to the first byte above which a request is slow
    :raises errors.UsageInvalid: if a file cannot be read
    """
    with lines.open_logs(logs) as sources:
        losses = summarize(sources, slow_ms)
    return '\n\n'.join(
        (
            _table('second', losses.seconds, lost_only=True),
            _table('route', losses.routes),
            _table('instance', losses.instances),
            _ranked('why not served', losses.reasons),
            _ranked('why slow', losses.stages),
            _ranked('why no slot', losses.queue_reasons),
            _ranked('paused for longer than allowed', losses.paused),
            _describe_forecasts(losses.forecast_errors_ms),
        )
    )


def _describe_forecasts(errors_ms: list[float]) -> str:
    """Describe how the forecasts of shared queues differed."""
    if not errors_ms:
        return 'forecasts of waits: none'
    mean_ms = statistics.fmean(errors_ms)
    size_ms = statistics.fmean(map(abs, errors_ms))
    return (
        f'forecasts of waits: {len(errors_ms)}, true wait longer by '
        f'{mean_ms:.1f} ms on average, mean difference {size_ms:.1f} ms'
    )


def _table(
    name: str, rows: dict[str, Counts], *, lost_only: bool = False
) -> str:
    width = max([len(name), *map(len, rows)])
    header = f'{name:{width}} ' + ' '.join(
        f'{column:>8}' for column in _COLUMNS
    )
    body = [
        f'{key:{width}} '
        + ' '.join(f'{counts[column]:>8}' for column in _COLUMNS)
        for key, counts in sorted(rows.items())
        if not lost_only or counts.total() > counts[SERVED]
    ]
    return '\n'.join([header, *body])


def _ranked(name: str, counts: Counts) -> str:
    rows = [
        f'{count:>8} {key}'
        for key, count in counts.most_common(_MAX_RANKED_ROWS)
    ]
    return '\n'.join([name, *rows])
