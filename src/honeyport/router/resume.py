"""Resumption of an interrupted stream of server-sent events.

An engine numbers its events in ``id:`` lines. Asked for the events after a
number, it sends the same bytes again. The part of the next event that the
caller has already received is removed from them.
"""

_EVENT_END = b'\n\n'
_ID_FIELD = b'id: '


class StreamOffset:
    """The position of a caller in a stream of events.

    :param last_event: the number of the last event before the stream starts
    """

    def __init__(self, last_event: int = 0) -> None:
        self._last_event = last_event
        self._partial_event = b''
        self._skip_bytes = 0

    @property
    def last_event(self) -> int:
        """The number of the last complete event; 0 for none."""
        return self._last_event

    def begin_resume(self) -> None:
        """Prepare for a stream that starts after the last complete event."""
        self._skip_bytes = len(self._partial_event)

    def strip_received(self, payload: bytes) -> bytes:
        """Advance by received bytes; return those that are new."""
        if self._skip_bytes:
            skipped_bytes = min(self._skip_bytes, len(payload))
            self._skip_bytes -= skipped_bytes
            payload = payload[skipped_bytes:]
        data = self._partial_event + payload
        end = data.rfind(_EVENT_END)
        if end >= 0:
            self._record_last_event(data[: end + len(_EVENT_END)])
            data = data[end + len(_EVENT_END) :]
        self._partial_event = data
        return payload

    def _record_last_event(self, events: bytes) -> None:
        start = events.rfind(b'\n' + _ID_FIELD) + 1
        if not start and not events.startswith(_ID_FIELD):
            return
        number = events[start + len(_ID_FIELD) : events.index(b'\n', start)]
        if number.isdigit():
            self._last_event = int(number)
