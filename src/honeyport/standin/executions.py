"""Execution log: one JSON line for each event of an execution."""

import json
import pathlib
import time
import typing


class Executions:
    """Appends executions to a file.

    :param path: the file, or ``''`` to discard the lines
    :param instance: name of the instance that writes
    """

    def __init__(self, path: str, instance: str) -> None:
        self._instance = instance
        self._file: typing.TextIO | None = None
        if path:
            pathlib.Path(path).parent.mkdir(parents=True, exist_ok=True)
            self._file = open(path, 'a', buffering=1, encoding='utf-8')

    def write(self, event: str, **fields: typing.Any) -> None:
        """Append one line.

        :param event: what happened, such as start, end or cancel
        :param fields: further fields of the line
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
