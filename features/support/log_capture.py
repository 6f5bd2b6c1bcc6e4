"""Capture of log events in tests."""

import contextlib
from unittest import mock

from honeyport.telemetry import log as logs


@contextlib.contextmanager
def captured_events():
    """Yield a list that collects the event name and fields of each line."""
    captured = []

    def emit(event, **fields):
        captured.append((event.name, fields))

    with mock.patch.object(logs, 'emit', emit):
        yield captured
