"""Run a program whose connections go to other addresses.

A file maps addresses to those that are connected to instead, so that a test
can place a network of its own between a process and its peers.
"""

import json
import os
import pathlib
import runpy
import socket
import sys
import typing

PATH_VARIABLE = 'HONEYPORT_TEST_REDIRECTS'  # holds the path of the file


def main() -> None:
    """Run the program in the first argument."""
    path = pathlib.Path(os.environ[PATH_VARIABLE])
    system_connect = socket.socket.connect

    def connect(self: socket.socket, address: typing.Any) -> None:
        redirects = json.loads(path.read_text(encoding='utf-8'))
        target = redirects.get(':'.join(map(str, address[:2])))
        if target is not None:
            host, _, port = target.rpartition(':')
            address = (host, int(port))
        system_connect(self, address)

    socket.socket.connect = connect  # type: ignore[method-assign]
    # This folder contains a module with the name of a standard one.
    sys.path.pop(0)
    runpy.run_path(sys.argv[1], run_name='__main__')


if __name__ == '__main__':
    main()
