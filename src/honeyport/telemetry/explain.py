"""Merge the log lines of one request from several instances.

The lines are sorted by time. Clocks of instances differ, so the offset of an
instance's clock can be given.
"""

import collections.abc
import datetime
import typing

import attrs

from honeyport import errors
from honeyport.telemetry import lines

_REQUEST_FIELD = 'request'
# Fields of every line; the others are shown as details of the event.
_COMMON_FIELDS = frozenset(
    ('event', 'number', 'level', 'timestamp', 'instance', _REQUEST_FIELD)
)


@attrs.frozen
class Line:
    """A log line about the request.

    :ivar at: its time, corrected by the offset of the instance's clock
    :ivar fields: the fields that not every line has
    """

    at: datetime.datetime
    instance: str
    event: str
    fields: dict[str, typing.Any]


def timeline(
    request_id: str,
    sources: collections.abc.Iterable[collections.abc.Iterable[str]],
    offsets_s: collections.abc.Mapping[str, float],
) -> list[Line]:
    """Return the lines about a request, sorted by time.

    Lines without JSON are skipped, and a prefix before the JSON is ignored.

    :param sources: the lines of each log
    :param offsets_s: instance to seconds by which its clock is ahead
    :raises errors.UsageInvalid: if no line is about the request
    """
    timeline_lines = []
    for source in sources:
        for text in source:
            line = _parse(text, request_id)
            if line is not None:
                offset_s = offsets_s.get(line.instance, 0.0)
                clock_offset = datetime.timedelta(seconds=offset_s)
                timeline_lines.append(
                    attrs.evolve(line, at=line.at - clock_offset)
                )
    if not timeline_lines:
        raise errors.UsageInvalid(
            f'no log line is about the request {request_id!r}'
        )
    timeline_lines.sort(key=lambda line: line.at)
    return timeline_lines


def render(timeline_lines: list[Line]) -> str:
    """Return a timeline as text, with times relative to its first line."""
    first_at = timeline_lines[0].at
    rows = []
    for line in timeline_lines:
        elapsed_s = (line.at - first_at).total_seconds()
        details = ' '.join(
            f'{name}={value}' for name, value in line.fields.items()
        )
        rows.append(
            f'{elapsed_s:+8.3f} s  {line.instance}  {line.event}  {details}'
        )
    return '\n'.join(rows)


def run(request_id: str, logs: tuple[str, ...], ahead: str) -> str:
    """Return the log lines of a request as text.

    :param logs: paths of files; standard input if there are none
    :param ahead: offsets of clocks, as comma-separated ``INSTANCE=SECONDS``
    :raises errors.UsageInvalid: if a file cannot be read, an offset is
        malformed, or no line is about the request
    """
    offsets = {}
    for item in filter(None, ahead.split(',')):
        instance, _, seconds = item.partition('=')
        try:
            offsets[instance] = float(seconds)
        except ValueError:
            raise errors.UsageInvalid(
                f'invalid clock offset {item!r}: expected INSTANCE=SECONDS'
            ) from None
    with lines.open_logs(logs) as sources:
        timeline_lines = timeline(request_id, sources, offsets)
    return render(timeline_lines)


def _parse(text: str, request_id: str) -> Line | None:
    if request_id not in text:
        return None
    values = lines.parse(text)
    if values is None or values.get(_REQUEST_FIELD) != request_id:
        return None
    return Line(
        values['timestamp'],
        values.get('instance', ''),
        values['event'],
        {k: v for k, v in values.items() if k not in _COMMON_FIELDS},
    )
