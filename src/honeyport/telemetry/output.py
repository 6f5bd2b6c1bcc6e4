"""Non-blocking, rate-limited output of log lines.

Lines are buffered and written in batches. If the reader is too slow or the
rate limit (a token bucket) is exceeded, lines are dropped instead of blocking
the process; their number is reported later.
"""

import asyncio
import collections.abc
import os

_FLUSH_DELAY_S = 0.02  # lines of this time share a system call
_MAX_BUFFERED_BYTES = 256 * 1024
_LINES_PER_S = 400.0  # refill rate of the token bucket
_BURST_LINES = 2000.0  # capacity of the token bucket

OnDropped = collections.abc.Callable[[int], None]


class Output:
    """Writes lines to a file descriptor without blocking.

    :param descriptor: set to non-blocking, unless it is a terminal
    :param on_dropped: called with the number of dropped lines, once lines
        are accepted again
    """

    def __init__(
        self, descriptor: int, on_dropped: OnDropped | None = None
    ) -> None:
        self._descriptor = descriptor
        self._on_dropped = on_dropped
        self._buffer = bytearray()
        self._dropped = 0
        self._tokens = _BURST_LINES
        self._refilled_at = 0.0
        self._scheduled = False
        if not os.isatty(descriptor):
            os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of dropped lines that were not reported yet."""
        return self._dropped

    def msg(self, line: str) -> None:
        """Buffer a line; structlog's loggers call this method."""
        data = line.encode('utf-8', 'replace') + b'\n'
        loop = _running_loop()
        if loop is None:
            self._buffer += data
            self.flush()
            return
        if not self._try_admit(loop.time(), len(data)):
            self._dropped += 1
            return
        self._buffer += data
        if not self._scheduled:
            self._scheduled = True
            loop.call_later(_FLUSH_DELAY_S, self._flush_scheduled)

    log = debug = info = warning = error = critical = msg

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts now."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                self._buffer.clear()  # the reader has closed its end
                return
            del self._buffer[:written]

    def _flush_scheduled(self) -> None:
        self._scheduled = False
        self.flush()
        if self._dropped and self._on_dropped and self._accepts_lines():
            dropped = self._dropped
            self._dropped = 0
            self._on_dropped(dropped)

    def _accepts_lines(self) -> bool:
        return len(self._buffer) < _MAX_BUFFERED_BYTES and self._tokens >= 1.0

    def _try_admit(self, now: float, line_bytes: int) -> bool:
        new_tokens = (now - self._refilled_at) * _LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + new_tokens)
        self._refilled_at = now
        if (
            self._tokens < 1.0
            or len(self._buffer) + line_bytes > _MAX_BUFFERED_BYTES
        ):
            return False
        self._tokens -= 1.0
        return True


def _running_loop() -> asyncio.AbstractEventLoop | None:
    try:
        return asyncio.get_running_loop()
    except RuntimeError:
        return None
