"""Answers of instances that end at any byte of their head."""

import asyncio
import collections.abc
import socket
import struct

import attrs

from honeyport.gateway import headers as gateway_headers

_NAMES = gateway_headers.HeaderNames()
_BODY_BYTES = 16
_DIGEST = 'd1'
_DIGEST_LINE = f'{_NAMES.digest}: {_DIGEST}'
_LENGTH = f'Content-Length: {_BODY_BYTES}'
_STREAM_TYPE = 'Content-Type: text/event-stream'
_CHUNKED = 'Transfer-Encoding: chunked'
_FRAMING = ('Content-Length', 'Transfer-Encoding')
_BLANK_LINE = b'\r\n\r\n'
# How the connection ends after the bytes.
CLOSED = 'closed'
RESET = 'reset'
ENDED_BY_BLANK_LINE = 'ended by a blank line'
ENDS = (CLOSED, RESET)
# Between the bytes and a reset, which may discard what was not read yet.
_READ_S = 0.002
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
STEP = 'head cut: '


@attrs.frozen
class Kind:
    """A kind of head.

    :ivar before: interim answers before it
    :ivar headers: between the id of the request and the digest
    :ivar is_whole: whether the answer is whole without a body
    :ivar is_refused: whether the parser does not accept the head
    """

    status: str = '200 OK'
    before: tuple[str, ...] = ()
    headers: tuple[str, ...] = ()
    line_end: str = '\r\n'
    is_digest_first: bool = False
    is_whole: bool = False
    is_refused: bool = False

    @property
    def is_stream(self) -> bool:
        """Whether it begins an event stream."""
        return _STREAM_TYPE in self.headers

    @property
    def is_framed(self) -> bool:
        """Whether the end of the connection is not the end of the body."""
        return any(line.startswith(_FRAMING) for line in self.headers)

    def head(self, request_id: str) -> bytes:
        """Return the bytes of the head, and of those before it."""
        first = [f'{_NAMES.request_id}: {request_id}']
        last = [_DIGEST_LINE]
        if self.is_digest_first:
            first, last = last, first
        status_line = f'HTTP/1.1 {self.status}'
        lines = [status_line, *first, *self.headers, *last, '', '']
        interim = ''.join(f'HTTP/1.1 {text}\r\n\r\n' for text in self.before)
        return (interim + self.line_end.join(lines)).encode()

    def is_answer(self, request_id: str, position: int, end: str) -> bool:
        """Whether the bytes before a position are a whole answer.

        An answer without framing that is closed within its body cannot be
        told from a shorter one.
        """
        if self.is_refused or position < len(self.head(request_id)):
            return False
        if self.is_whole:
            return True
        return not (self.is_framed or self.is_stream) and end == CLOSED


KINDS: dict[str, Kind] = {
    'with a length': Kind(headers=(_LENGTH,)),
    'with zeros before its length': Kind(
        headers=(f'Content-Length: {_BODY_BYTES:04}',)
    ),
    'with its length last': Kind(headers=(_LENGTH,), is_digest_first=True),
    'in chunks': Kind(headers=(_CHUNKED,)),
    'in chunks, the digest first': Kind(
        headers=(_CHUNKED,), is_digest_first=True
    ),
    'without framing': Kind(),
    'without content': Kind('204 No Content', is_whole=True),
    'without content, of length 0': Kind(
        '204 No Content', headers=('Content-Length: 0',), is_whole=True
    ),
    'not modified': Kind(
        '304 Not Modified', headers=(_LENGTH,), is_whole=True
    ),
    'that resets a form': Kind(
        '205 Reset Content', headers=('Content-Length: 0',), is_whole=True
    ),
    'without a reason': Kind('200 ', headers=(_LENGTH,)),
    'with line feeds': Kind(headers=(_LENGTH,), line_end='\n'),
    'with a folded line': Kind(
        headers=('X-Note: one', ' two', _LENGTH), is_refused=True
    ),
    'after an interim answer': Kind(
        before=('100 Continue',), headers=(_LENGTH,)
    ),
    'after three interim answers': Kind(
        before=('100 Continue', '103 Early Hints\r\nLink: </a>', '102 '),
        headers=(_LENGTH,),
    ),
    'of a stream': Kind(headers=(_STREAM_TYPE, _CHUNKED)),
    'of a stream without framing': Kind(headers=(_STREAM_TYPE,)),
}


def positions(
    name: str, request_id: str, end: str
) -> collections.abc.Iterable[int]:
    """Return the number of bytes of each start of a head, up to the whole.

    A head that a blank line ends has lost its digest, or the digest's value.
    """
    head = KINDS[name].head(request_id)
    size = len(head)
    if end == ENDED_BY_BLANK_LINE:
        size = head.index(_DIGEST.encode())
    return range(size + 1)


def step(name: str, position: int, end: str) -> str:
    """Return the script step that writes the start of a head and ends."""
    return f'{STEP}{position} bytes of {name}; {end}'


async def run_step(
    script_step: str, request_id: str, writer: asyncio.StreamWriter
) -> None:
    """Write the start of a head, and reset the connection if it is due."""
    text = script_step.removeprefix(STEP)
    position, _, rest = text.partition(' bytes of ')
    name, _, end = rest.partition('; ')
    data = KINDS[name].head(request_id)[: int(position)]
    if end == ENDED_BY_BLANK_LINE:
        data += _BLANK_LINE
    writer.write(data)
    if end == RESET:
        await asyncio.sleep(_READ_S)
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
