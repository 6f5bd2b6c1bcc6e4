"""A stand-in for the weight store, which limits concurrent downloads.

Downloads over the limit are refused with status 429.
"""

import asyncio

from tornado import web

from honeyport.settings import roles
from honeyport.standin import executions
from honeyport import supervisor


class WeightHandler(web.RequestHandler):
    """``GET /weights/MODEL/VERSION``: download the weights of a model."""

    running = 0

    def initialize(
        self, log: executions.Executions, settings: roles.WeightStore
    ) -> None:
        self._executions = log
        self._settings = settings

    async def get(self, model: str, version: str) -> None:
        cls = type(self)
        if cls.running >= self._settings.at_once:
            self._executions.write('refused', model=model, version=version)
            self.set_status(429)
            return
        cls.running += 1
        try:
            self._executions.write(
                'load', model=model, version=version, running=cls.running
            )
            await asyncio.sleep(self._settings.load_ms / 1000)
            self.write('weights')
        finally:
            cls.running -= 1


async def start(
    settings: roles.WeightStore, tree: supervisor.Supervisor
) -> None:
    """Start the HTTP server of a stand-in weight store."""
    arguments = {
        'log': executions.Executions(settings.executions, settings.name),
        'settings': settings,
    }
    application = web.Application(
        [('/weights/([^/]+)/([^/]+)', WeightHandler, arguments)],
        log_function=lambda _: None,
    )
    host, port = roles.split_address(settings.listen)
    server = application.listen(port, host)
    tree.on_stop('http', supervisor.close_hook(server))
