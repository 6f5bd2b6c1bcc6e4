"""Signals that come before a process can act on them.

Only the standard library is used here, so that this is imported at once.
"""

import signal


def ignore_reload() -> None:
    """Ignore SIGHUP until there is a handler; its default ends a process.

    What it told of is not lost: settings are read after this.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
