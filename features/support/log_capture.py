"""What is logged while a test runs."""

import contextlib
from unittest import mock

from honeyport.telemetry import log as logs


@contextlib.contextmanager
def taken():
    """Return a list that takes each line's event name and fields."""
    lines = []

    def emit(event, **fields):
        lines.append((event.name, fields))

    with mock.patch.object(logs, 'emit', emit):
        yield lines
