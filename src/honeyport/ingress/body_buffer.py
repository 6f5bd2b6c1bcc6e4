"""Collects a body as it arrives."""

# Length from which a part of a body is kept as it is.
_BLOCK_BYTES = 8 * 1024


class BodyBuffer:
    """Collects a body in blocks of similar length.

    One buffer that grows is moved again and again; where many bodies grow at
    the same time, that fragments the memory of the process for good.
    """

    __slots__ = ('_blocks', '_tail')

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        # Short parts at the end, which are joined.
        self._tail = bytearray()

    def append(self, part: bytes) -> None:
        """Add the next part of the body."""
        if len(part) < _BLOCK_BYTES:
            self._tail += part
            if len(self._tail) >= _BLOCK_BYTES:
                self._flush()
        else:
            self._flush()
            self._blocks.append(part)

    def take(self) -> bytes:
        """Return the whole body, and hold nothing of it any more."""
        self._flush()
        blocks = self._blocks
        self._blocks = []
        return blocks[0] if len(blocks) == 1 else b''.join(blocks)

    def clear(self) -> None:
        """Hold nothing of the body any more."""
        self._blocks = []
        self._tail = bytearray()

    def _flush(self) -> None:
        if self._tail:
            self._blocks.append(bytes(self._tail))
            self._tail = bytearray()
