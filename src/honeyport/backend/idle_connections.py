"""Check of idle connections before they are used again."""

import socket

from tornado import iostream


def is_usable(stream: iostream.IOStream) -> bool:
    """Whether an idle connection is open and has no unread bytes.

    Unread bytes on an idle connection belong to no request.
    """
    if stream.closed():
        return False
    # Tornado reads ahead; it has no public access to its read buffer.
    if stream._read_buffer_size:
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
