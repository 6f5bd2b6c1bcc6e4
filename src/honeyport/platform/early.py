"""The callers' socket, opened before the rest of the program is imported.

Importing takes 0.3 s. After a loss of all processes callers find nobody else
who serves: on an open socket they wait for that long, and a closed port uses
up one of their few tries at once. Only the standard library is used here.
"""

import os
import socket

PATH_VARIABLE = 'HONEYPORT_BOOT'  # names the settings file
_FIELD = 'listen.frontend='
# Callers that may wait while the program is imported: 0.4 s of the busiest
# instance's new connections (some 100 a second) and room for a burst.
_BACKLOG = 256

_OPENED: dict[str, socket.socket] = {}


def listen() -> None:
    """Open the callers' socket; what fails is tried again and told later."""
    address = _address()
    host, _, port = address.rpartition(':')
    if not port.isdigit():
        return
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((host, int(port)))
        opened.listen(_BACKLOG)
        opened.setblocking(False)
    except OSError:
        opened.close()
        return
    _OPENED[address] = opened


def take(address: str) -> socket.socket | None:
    """Return the socket that was opened for an address, if any."""
    return _OPENED.pop(address, None)


def _address() -> str:
    try:
        with open(os.environ.get(PATH_VARIABLE, ''), encoding='utf-8') as file:
            lines = file.read().splitlines()
    except (OSError, UnicodeDecodeError):
        return ''
    found = [line for line in lines if line.startswith(_FIELD)]
    return found[-1][len(_FIELD) :].strip() if found else ''
