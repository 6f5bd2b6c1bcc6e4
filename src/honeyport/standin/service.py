"""A stand-in for a plain HTTP service."""

import asyncio
import hashlib
import json
import os

from tornado import web

from honeyport.settings import roles
from honeyport.standin import executions
from honeyport import supervisor


_CRASH_EXIT_CODE = 3


class CallHandler(web.RequestHandler):
    """Simulates work, logs it and answers with a digest of the request.

    ``?close=1`` closes the connection after the work, without an answer;
    ``?slow=MS`` adds a delay in milliseconds; ``?end=1`` ends the process
    before the work is complete.
    """

    def initialize(
        self, log: executions.Executions, settings: roles.Service
    ) -> None:
        self._executions = log
        self._settings = settings

    async def get(self) -> None:
        await self._handle()

    async def post(self) -> None:
        await self._handle()

    async def put(self) -> None:
        await self._handle()

    async def delete(self) -> None:
        await self._handle()

    async def _handle(self) -> None:
        headers = self.request.headers
        request_id = headers.get('X-Request-Id', '')
        key = headers.get('Idempotency-Key', '')
        self._executions.write('start', request_id=request_id, key=key)
        delay_ms = float(self.get_query_argument('slow', '0'))
        await asyncio.sleep((self._settings.work_ms + delay_ms) / 1000)
        if self.get_query_argument('end', ''):
            os._exit(_CRASH_EXIT_CODE)
        body = json.dumps(
            {
                'served_by': self._settings.name,
                'path': self.request.path,
                'received': hashlib.sha256(self.request.body).hexdigest(),
            }
        )
        self._executions.write(
            'end',
            request_id=request_id,
            key=key,
            bytes=len(body),
            digest=hashlib.sha256(body.encode()).hexdigest(),
        )
        if self.get_query_argument('close', ''):
            self.request.connection.stream.close()
            return
        self.set_header('Content-Type', 'application/json')
        self.write(body)


class HealthHandler(web.RequestHandler):
    """``GET /healthz``: always healthy."""

    def get(self) -> None:
        self.write('ok')


async def start(settings: roles.Service, tree: supervisor.Supervisor) -> None:
    """Start the HTTP server of a stand-in service."""
    log = executions.Executions(settings.executions, settings.name)
    arguments = {'log': log, 'settings': settings}
    application = web.Application(
        [('/healthz', HealthHandler), ('/.*', CallHandler, arguments)],
        log_function=lambda _: None,
    )
    host, port = roles.split_address(settings.listen)
    server = application.listen(port, host)
    tree.on_stop('http', supervisor.close_hook(server))
