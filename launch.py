"""Run honeyport from the source tree; the platform starts this file."""

import gc
import pathlib
import sys

# Shortens the imports, which free few objects; process.py enables it again.
gc.disable()

sys.path.insert(0, str(pathlib.Path(__file__).parent / 'src'))

from honeyport.platform import early  # noqa: E402
from honeyport import signals  # noqa: E402

signals.ignore_reload()
early.listen()

from honeyport.platform import node  # noqa: E402

node.main()
