"""Where requests and time were lost, summed up from logs alone.

For each second, route and instance: how many requests were served, served
slowly, refused, broken off, or left by their callers; then why. A request is
slow if its first byte came later than a limit, and the stage that took most
of that time is named.
"""

import collections
import collections.abc
import typing

import attrs

from honeyport.telemetry import lines

SERVED = 'served'
SLOW = 'slow'
_ENDS = {
    'request_served': SERVED,
    'request_refused': 'refused',
    'request_broken': 'broken',
    'request_abandoned': 'left',
}
_COLUMNS = (SERVED, SLOW, 'refused', 'broken', 'left')
_MOST_ROWS = 20  # of a table that has no natural end

Counts = collections.Counter[str]


@attrs.define
class Losses:
    """What became of requests, by several keys."""

    seconds: dict[str, Counts] = attrs.field(factory=dict)
    routes: dict[str, Counts] = attrs.field(factory=dict)
    instances: dict[str, Counts] = attrs.field(factory=dict)
    reasons: Counts = attrs.field(factory=collections.Counter)
    stages: Counts = attrs.field(factory=collections.Counter)

    def take(self, fields: lines.Fields, slow_ms: float) -> None:
        """Count a line, if it says how a request ended."""
        outcome = _ENDS.get(fields['event'])
        if outcome is None:
            return
        first_ms = fields.get('first_ms') or 0.0
        if outcome == SERVED and first_ms > slow_ms:
            outcome = SLOW
            self.stages[stage(fields)] += 1
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


def stage(fields: lines.Fields) -> str:
    """Return what took most of the time to a request's first byte."""
    waited_ms = fields.get('waited_ms') or 0.0
    connect_ms = fields.get('connect_ms') or 0.0
    rest_ms = (fields.get('first_ms') or 0.0) - waited_ms - connect_ms
    if waited_ms >= max(connect_ms, rest_ms):
        return 'waited for the lease'
    if connect_ms >= rest_ms:
        return 'connecting to instances'
    if (fields.get('offers') or 1) > 1:
        return 'several offers'
    backend = fields.get('backend', '-')
    if fields.get('source'):
        return f'instance {backend}, copying from {fields["source"]}'
    return f'instance {backend}'


def gather(
    sources: collections.abc.Iterable[typing.Iterable[str]], slow_ms: float
) -> Losses:
    """Sum up the lines of some logs."""
    found = Losses()
    for source in sources:
        for text in source:
            fields = lines.parse(text)
            if fields is not None:
                found.take(fields, slow_ms)
    return found


def run(logs: tuple[str, ...], slow_ms: float) -> str:
    """Return tables of what was lost in some logs.

    :param logs: files; standard input if there are none
    :param slow_ms: after how many milliseconds a first byte is slow
    :raises errors.UsageInvalid: if a file cannot be read
    """
    with lines.opened(logs) as sources:
        found = gather(sources, slow_ms)
    return '\n\n'.join(
        (
            _table('second', found.seconds, lost_only=True),
            _table('route', found.routes),
            _table('instance', found.instances),
            _ranked('why not served', found.reasons),
            _ranked('why slow', found.stages),
        )
    )


def _table(
    name: str, rows: dict[str, Counts], *, lost_only: bool = False
) -> str:
    width = max([len(name), *map(len, rows)])
    head = f'{name:{width}} ' + ' '.join(f'{one:>8}' for one in _COLUMNS)
    body = [
        f'{key:{width}} ' + ' '.join(f'{row[one]:>8}' for one in _COLUMNS)
        for key, row in sorted(rows.items())
        if not lost_only or row.total() > row[SERVED]
    ]
    return '\n'.join([head, *body])


def _ranked(name: str, counts: Counts) -> str:
    rows = [
        f'{count:>8} {key}' for key, count in counts.most_common(_MOST_ROWS)
    ]
    return '\n'.join([name, *rows])
