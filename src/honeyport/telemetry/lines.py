"""Read and parse the log lines that instances wrote."""

import collections.abc
import contextlib
import datetime
import json
import sys
import typing

from honeyport import errors

Fields = dict[str, typing.Any]


def parse(text: str) -> Fields | None:
    """Return the fields of a log line, or ``None`` if it is not honeyport's.

    A prefix before the JSON, such as a log collector's, is ignored. The field
    ``timestamp`` is returned as a ``datetime``.
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        values = json.loads(text[start:])
        if not isinstance(values, dict) or 'event' not in values:
            return None
        values['timestamp'] = datetime.datetime.fromisoformat(
            values['timestamp']
        )
    except (ValueError, KeyError, TypeError):
        return None
    return values


@contextlib.contextmanager
def open_logs(
    logs: tuple[str, ...],
) -> collections.abc.Iterator[list[typing.Iterable[str]]]:
    """Open log files, or standard input if there are none.

    :raises errors.UsageInvalid: if a file cannot be read
    """
    with contextlib.ExitStack() as files:
        try:
            sources: list[typing.Iterable[str]] = [
                files.enter_context(open(path, encoding='utf-8'))
                for path in logs
            ]
        except OSError as error:
            raise errors.UsageInvalid(str(error)) from None
        yield sources or [sys.stdin]
