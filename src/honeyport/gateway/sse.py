"""Splitting of server-sent event streams at event boundaries."""

_ID_FIELD = b'id:'


class EventSplitter:
    """Buffers a partial event until it is complete.

    Callers only get complete events; a broken stream is resumed on another
    instance after the last one.
    """

    def __init__(self) -> None:
        self._partial = b''
        self._last_event_id = ''

    @property
    def last_event_id(self) -> str:
        """Id of the last complete event, or ``''``."""
        return self._last_event_id

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the events that are now complete."""
        data = self._partial + chunk
        end = max(
            _offset_after_last(data, b'\n\n'),
            _offset_after_last(data, b'\r\n\r\n'),
        )
        self._partial = data[end:]
        complete = data[:end]
        last_event_id = _find_last_event_id(complete)
        if last_event_id:
            self._last_event_id = last_event_id
        return complete

    def partial(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._partial

    def discard_partial(self) -> None:
        """Discard the partial event; another instance sends it again."""
        self._partial = b''


def _offset_after_last(data: bytes, separator: bytes) -> int:
    """Return the offset after the last separator, or 0."""
    start = data.rfind(separator)
    return start + len(separator) if start >= 0 else 0


def _find_last_event_id(complete: bytes) -> str:
    """Return the last event id in complete events, or ``''``."""
    for line in reversed(complete.splitlines()):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode('ascii', 'replace')
    return ''
