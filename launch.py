"""Runs honeyport from the source tree, as the platform starts it."""

import gc
import pathlib
import sys

# Until all is imported (process.py): a start is shorter without collections,
# which find next to nothing in it.
gc.disable()

sys.path.insert(0, str(pathlib.Path(__file__).parent / 'src'))

from honeyport.platform import early  # noqa: E402
from honeyport import signals  # noqa: E402

signals.ignore_reload()
early.listen()

from honeyport.platform import node  # noqa: E402

node.main()
