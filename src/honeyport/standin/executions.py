"""The log of executions: one JSON line for each thing that really ran."""

import json
import pathlib
import time
import typing


class Executions:
    """Appends to a file; without one it keeps nothing.

    :param path: the file, or ``''``
    :param instance: who ran it
    """

    def __init__(self, path: str, instance: str) -> None:
        self._instance = instance
        self._file: typing.TextIO | None = None
        if path:
            pathlib.Path(path).parent.mkdir(parents=True, exist_ok=True)
            self._file = open(path, 'a', buffering=1, encoding='utf-8')

    def write(self, event: str, **fields: typing.Any) -> None:
        """Write one line.

        :param event: start, end or cancel
        """
        if self._file is None:
            return
        line = {
            'time': time.time(),
            'instance': self._instance,
            'event': event,
            **fields,
        }
        self._file.write(json.dumps(line) + '\n')
