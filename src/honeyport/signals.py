"""Handling of signals that arrive while a process starts.

Imports only the standard library, so that it is loaded quickly.
"""

import signal


def ignore_reload() -> None:
    """Ignore SIGHUP, which would end the process, until a handler is set.

    No reload is lost, since the settings are read later.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
