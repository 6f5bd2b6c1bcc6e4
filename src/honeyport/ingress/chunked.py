"""Reads bodies in chunks, many small chunks at a time.

The parser's own reader takes several steps of the event loop's futures for
each chunk, so that a few connections with tiny chunks hold up everything else
in the process.
"""

import asyncio
import re

from tornado import http1connection
from tornado import httputil

# Bytes that are decoded before others have their turn.
_TURN_BYTES = 16 * 1024
_LINE_END = b'\r\n'
_MAX_LINE_BYTES = 64
_SIZE = re.compile(rb'[0-9a-fA-F]+')


class Decoder:
    """Decodes a body in chunks; extensions and trailers are errors.

    :ivar is_complete: whether the end of the body has been decoded
    """

    def __init__(self) -> None:
        self.is_complete = False
        self._rest = b''
        self._left = 0
        self._is_after_data = False
        self._is_last = False

    def decode(self, data: bytes) -> tuple[bytes, int]:
        """Decode the next bytes; return the content, and the bytes used.

        All are used, but for what follows the end of the body.

        :raises httputil.HTTPInputError: if this is no body in chunks
        """
        known = len(self._rest)
        data = self._rest + data
        content = []
        position = 0
        while not self.is_complete:
            if self._left:
                part = data[position : position + self._left]
                content.append(part)
                position += len(part)
                self._left -= len(part)
                if self._left:
                    break
                self._is_after_data = True
            following = self._decode_line(data, position)
            if following == position:
                break
            position = following
        used = position if self.is_complete else len(data)
        self._rest = b'' if self.is_complete else data[position:]
        return b''.join(content), used - known

    def _decode_line(self, data: bytes, position: int) -> int:
        """Decode the end of a chunk or the size of the next one.

        :returns: the position after it; the same one if it is incomplete
        """
        if self._is_after_data or self._is_last:
            end = data[position : position + len(_LINE_END)]
            if not _LINE_END.startswith(end):
                raise httputil.HTTPInputError('improperly terminated chunk')
            if len(end) < len(_LINE_END):
                return position
            self._is_after_data = False
            self.is_complete = self._is_last
            return position + len(_LINE_END)
        end_of_line = data.find(
            _LINE_END, position, position + _MAX_LINE_BYTES
        )
        if end_of_line < 0:
            if len(data) - position >= _MAX_LINE_BYTES:
                raise httputil.HTTPInputError('invalid chunk size')
            return position
        size = data[position:end_of_line]
        if _SIZE.fullmatch(size) is None:
            raise httputil.HTTPInputError('invalid chunk size')
        self._left = int(size, 16)
        self._is_last = not self._left
        return end_of_line + len(_LINE_END)


class Reader:
    """Reads the bodies of all connections of a server, in turns."""

    def __init__(self) -> None:
        self._turn = asyncio.Lock()

    async def read(
        self,
        connection: http1connection.HTTP1Connection,
        delegate: httputil.HTTPMessageDelegate,
    ) -> None:
        """Read the body of one request, and pass it on.

        :raises httputil.HTTPInputError: if it is malformed or too long
        """
        # Tornado has no public access to what a stream has buffered, nor to
        # the limit of a connection.
        stream = connection.stream
        decoder = Decoder()
        received = 0
        while not decoder.is_complete:
            data = b''
            if not stream._read_buffer_size:
                data = await stream.read_bytes(1)
            async with self._turn:
                waiting = len(data)
                data += stream._read_buffer[:_TURN_BYTES]
                content, used = decoder.decode(data)
                if used > waiting:
                    await stream.read_bytes(used - waiting)
                await asyncio.sleep(0)
            received += len(content)
            if received > connection._max_body_size:
                raise httputil.HTTPInputError('chunked body too large')
            if content:
                await connection._deliver_body(delegate, content)
