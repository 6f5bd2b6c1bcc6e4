"""Where a stream of events was cut, and the bytes to leave out after it.

An engine numbers its events in ``id:`` lines, and sends the same bytes
again when asked for what comes after a number. What the caller already
has of the next event is left out.
"""

_BOUNDARY = b'\n\n'
_FIELD = b'id: '


class StreamOffset:
    """How far a caller has got in a stream of events.

    :param last_event: number of the last whole event before the stream
    """

    def __init__(self, last_event: int = 0) -> None:
        self._last_event = last_event
        self._rest = b''
        self._skip = 0

    @property
    def last_event(self) -> int:
        """The number of the last whole event; 0 for none."""
        return self._last_event

    def begin_resume(self) -> None:
        """Note that the stream goes on after the last whole event."""
        self._skip = len(self._rest)

    def strip_received(self, payload: bytes) -> bytes:
        """Count bytes in; return those that the caller lacks."""
        if self._skip:
            skipped = min(self._skip, len(payload))
            self._skip -= skipped
            payload = payload[skipped:]
        data = self._rest + payload
        end = data.rfind(_BOUNDARY)
        if end >= 0:
            self._note(data[: end + len(_BOUNDARY)])
            data = data[end + len(_BOUNDARY) :]
        self._rest = data
        return payload

    def _note(self, events: bytes) -> None:
        start = events.rfind(b'\n' + _FIELD) + 1
        if not start and not events.startswith(_FIELD):
            return
        number = events[start + len(_FIELD) : events.index(b'\n', start)]
        if number.isdigit():
            self._last_event = int(number)
