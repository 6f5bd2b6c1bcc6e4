"""The callers' socket, opened before the rest of the program is imported.

Connections wait in its backlog during the imports, instead of being refused.
This module imports only the standard library.
"""

import os
import socket

PATH_VARIABLE = 'HONEYPORT_BOOT'  # holds the path of the settings file
_ADDRESS_KEY = 'listen.frontend='
# Connections that may wait during the imports: 0.4 s at 100 new ones a second,
# and room for a burst.
_BACKLOG = 256

_SOCKETS: dict[str, socket.socket] = {}


def listen() -> None:
    """Open the callers' socket, if possible.

    After a failure the gateway opens it at its start and reports the error.
    """
    address = _read_address()
    host, _, port = address.rpartition(':')
    if not port.isdigit():
        return
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(_BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        return
    _SOCKETS[address] = listener


def take_socket(address: str) -> socket.socket | None:
    """Return the socket opened for an address, once, or ``None``."""
    return _SOCKETS.pop(address, None)


def _read_address() -> str:
    """Return the callers' address in the settings file, or ``''``."""
    try:
        with open(os.environ.get(PATH_VARIABLE, ''), encoding='utf-8') as file:
            lines = file.read().splitlines()
    except (OSError, UnicodeDecodeError):
        return ''
    address_lines = [line for line in lines if line.startswith(_ADDRESS_KEY)]
    return (
        address_lines[-1][len(_ADDRESS_KEY) :].strip() if address_lines else ''
    )
