"""The API of plain services: ``/services/NAME/...`` is forwarded unchanged."""

import uuid

from honeyport.bundle import model
from honeyport import errors
from honeyport import exchange
from honeyport.router import edge

_FORWARDED_HEADERS = ('Content-Type', 'Accept', 'Authorization')


@edge.register(r'/services/([^/]+)(/.*)?')
class ServiceHandler(edge.Handler):
    """Forwards one request to a plain service."""

    async def get(self, name: str, path: str | None) -> None:
        await self.serve(lambda: self._build_call(name, path))

    async def post(self, name: str, path: str | None) -> None:
        await self.serve(lambda: self._build_call(name, path))

    async def put(self, name: str, path: str | None) -> None:
        await self.serve(lambda: self._build_call(name, path))

    async def delete(self, name: str, path: str | None) -> None:
        await self.serve(lambda: self._build_call(name, path))

    def _build_call(self, name: str, path: str | None) -> exchange.Call:
        pool = self._services.state.pool(name)
        if pool.service.kind != model.SERVICE:
            raise errors.UnknownService(f'{name} is not a plain service')
        query = self.request.query
        target = (path or '/') + (f'?{query}' if query else '')
        headers = tuple(
            (header_name, self.header(header_name))
            for header_name in _FORWARDED_HEADERS
            if self.header(header_name)
        )
        chat = self.header(edge.CHAT) or uuid.uuid4().hex
        return self.call(name, target, chat, headers)
