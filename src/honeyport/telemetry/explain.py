"""One request's way through the logs of several instances.

Clocks of instances differ, so lines of one instance keep their own order,
and the instances are told apart; between them the order is by time, and
the offset of an instance's clock can be given.
"""

import collections.abc
import datetime
import typing

import attrs

from honeyport import errors
from honeyport.telemetry import lines

_REQUEST = 'request'
# What every line has; the rest is what decided.
_COMMON = frozenset(
    ('event', 'number', 'level', 'timestamp', 'instance', _REQUEST)
)


@attrs.frozen
class Line:
    """One log line about the request."""

    at: datetime.datetime
    instance: str
    event: str
    fields: dict[str, typing.Any]


def timeline(
    request_id: str,
    sources: collections.abc.Iterable[collections.abc.Iterable[str]],
    offsets_s: collections.abc.Mapping[str, float],
) -> list[Line]:
    """Return the lines about a request, in the order of their times.

    Lines that are no JSON, such as the bench's own, are passed over; a
    prefix before the JSON is cut.

    :param sources: the lines of each log
    :param offsets_s: instance to seconds that its clock is ahead
    :raises errors.UsageInvalid: if no line names the request
    """
    found = []
    for source in sources:
        for text in source:
            line = _parse(text, request_id)
            if line is not None:
                offset = offsets_s.get(line.instance, 0.0)
                shift = datetime.timedelta(seconds=offset)
                found.append(attrs.evolve(line, at=line.at - shift))
    if not found:
        raise errors.UsageInvalid(f'no line names the request {request_id!r}')
    found.sort(key=lambda line: line.at)
    return found


def render(found: list[Line]) -> str:
    """Return a timeline as text, times from its first line on."""
    first = found[0].at
    rows = []
    for line in found:
        since_s = (line.at - first).total_seconds()
        detail = ' '.join(
            f'{name}={value}' for name, value in line.fields.items()
        )
        rows.append(
            f'{since_s:+8.3f} s  {line.instance}  {line.event}  {detail}'
        )
    return '\n'.join(rows)


def run(request_id: str, logs: tuple[str, ...], ahead: str) -> str:
    """Return the way of a request through logs.

    :param logs: files; standard input if there are none
    :param ahead: ``INSTANCE=SECONDS`` with commas
    :raises errors.UsageInvalid: if a file or an offset cannot be read
    """
    offsets = {}
    for item in filter(None, ahead.split(',')):
        instance, _, seconds = item.partition('=')
        try:
            offsets[instance] = float(seconds)
        except ValueError:
            raise errors.UsageInvalid(
                f'{item!r}: expected INSTANCE=SECONDS'
            ) from None
    with lines.opened(logs) as sources:
        found = timeline(request_id, sources, offsets)
    return render(found)


def _parse(text: str, request_id: str) -> Line | None:
    if request_id not in text:
        return None
    values = lines.parse(text)
    if values is None or values.get(_REQUEST) != request_id:
        return None
    return Line(
        values['timestamp'],
        values.get('instance', ''),
        values['event'],
        {k: v for k, v in values.items() if k not in _COMMON},
    )
