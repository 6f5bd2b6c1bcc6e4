"""A stand-in for the platform's list of instances, which lags."""

import asyncio
import collections
import json

from tornado import web

from honeyport.settings import roles
from honeyport import supervisor


class InstanceList:
    """What is known of instances, shown a while later."""

    def __init__(self, settings: roles.InstanceList) -> None:
        self._lag_s = settings.lag_s
        self._shown = dict(settings.instances)
        self._coming: collections.deque[tuple[float, str, str]] = (
            collections.deque()
        )

    def change(self, name: str, state: str) -> None:
        """Note that an instance is live, leaving or gone."""
        now = asyncio.get_running_loop().time()
        self._coming.append((now + self._lag_s, name, state))

    def show(self) -> dict[str, str]:
        """Return the list as it was."""
        now = asyncio.get_running_loop().time()
        while self._coming and self._coming[0][0] <= now:
            _, name, state = self._coming.popleft()
            self._shown[name] = state
        return self._shown


class ListHandler(web.RequestHandler):
    """``GET /instances``, and ``POST`` of changes by tests."""

    def initialize(self, instances: InstanceList) -> None:
        self._instances = instances

    def get(self) -> None:
        self.write(self._instances.show())

    def post(self) -> None:
        for name, state in json.loads(self.request.body).items():
            self._instances.change(name, state)


async def start(
    settings: roles.InstanceList, tree: supervisor.Supervisor
) -> None:
    """Serve a stand-in instance list."""
    arguments = {'instances': InstanceList(settings)}
    application = web.Application(
        [('/instances', ListHandler, arguments)], log_function=lambda _: None
    )
    host, port = roles.split_address(settings.listen)
    server = application.listen(port, host)
    tree.on_stop('http', supervisor.close_hook(server))
