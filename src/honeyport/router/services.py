"""Plain services: ``/services/NAME/...`` is passed on as it came."""

import uuid

from honeyport.bundle import model
from honeyport import errors
from honeyport import exchange
from honeyport.router import edge

_PASSED_ON = ('Content-Type', 'Accept', 'Authorization')


@edge.register(r'/services/([^/]+)(/.*)?')
class ServiceHandler(edge.Handler):
    """One call of a plain service."""

    async def get(self, name: str, path: str | None) -> None:
        await self.serve(lambda: self._make(name, path))

    async def post(self, name: str, path: str | None) -> None:
        await self.serve(lambda: self._make(name, path))

    async def put(self, name: str, path: str | None) -> None:
        await self.serve(lambda: self._make(name, path))

    async def delete(self, name: str, path: str | None) -> None:
        await self.serve(lambda: self._make(name, path))

    def _make(self, name: str, path: str | None) -> exchange.Call:
        pool = self._services.state.pool(name)
        if pool.service.kind != model.SERVICE:
            raise errors.UnknownService(f'{name} is not a plain service')
        query = self.request.query
        target = (path or '/') + (f'?{query}' if query else '')
        headers = tuple(
            (key, self.header(key)) for key in _PASSED_ON if self.header(key)
        )
        chat = self.header(edge.CHAT) or uuid.uuid4().hex
        return self.call(name, target, chat, headers)
