"""A stand-in for the platform's instance list, which lags behind."""

import asyncio
import collections
import json

from tornado import web

from honeyport.settings import roles
from honeyport import supervisor


class InstanceList:
    """Instance states, visible ``lag_s`` seconds after each change."""

    def __init__(self, settings: roles.InstanceList) -> None:
        self._lag_s = settings.lag_s
        self._visible = dict(settings.instances)
        self._pending: collections.deque[tuple[float, str, str]] = (
            collections.deque()
        )

    def set_state(self, name: str, state: str) -> None:
        """Schedule a change of an instance's state.

        :param state: live, leaving or gone
        """
        now = asyncio.get_running_loop().time()
        self._pending.append((now + self._lag_s, name, state))

    def visible(self) -> dict[str, str]:
        """Return the visible states, by instance."""
        now = asyncio.get_running_loop().time()
        while self._pending and self._pending[0][0] <= now:
            _, name, state = self._pending.popleft()
            self._visible[name] = state
        return self._visible


class ListHandler(web.RequestHandler):
    """``/instances``: read with GET; tests change states with POST."""

    def initialize(self, instances: InstanceList) -> None:
        self._instances = instances

    def get(self) -> None:
        self.write(self._instances.visible())

    def post(self) -> None:
        for name, state in json.loads(self.request.body).items():
            self._instances.set_state(name, state)


async def start(
    settings: roles.InstanceList, tree: supervisor.Supervisor
) -> None:
    """Start the HTTP server of a stand-in instance list."""
    arguments = {'instances': InstanceList(settings)}
    application = web.Application(
        [('/instances', ListHandler, arguments)], log_function=lambda _: None
    )
    host, port = roles.split_address(settings.listen)
    server = application.listen(port, host)
    tree.on_stop('http', supervisor.close_hook(server))
