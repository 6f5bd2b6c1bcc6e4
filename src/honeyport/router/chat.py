"""The chat API: ``POST /v1/chat/completions``, compatible with OpenAI's."""

import hashlib
import json
import typing

from honeyport.bundle import model
from honeyport import errors
from honeyport import exchange
from honeyport.router import edge

_PATH = '/v1/chat/completions'
# First messages, from which the name of a chat without one is derived.
_IDENTIFYING_MESSAGES = 2


@edge.register(_PATH)
class ChatHandler(edge.Handler):
    """Serves one turn of a chat."""

    async def post(self) -> None:
        await self.serve(self._build_call)

    def _build_call(self) -> exchange.Call:
        body = _parse(self.request.body)
        service = self._service(body)
        chat = self.header(edge.CHAT) or _derive_chat_name(body)
        headers = (('Content-Type', 'application/json'),)
        return self.call(service, _PATH, chat, headers)

    def _service(self, body: dict[str, typing.Any]) -> str:
        name = body.get('model')
        if not isinstance(name, str):
            raise errors.BadRequest('model: expected the name of a service')
        pool = self._services.state.pool(name)
        if pool.service.kind != model.ENGINE:
            raise errors.UnknownService(f'{name} is not a service of engines')
        return name


def _parse(text: bytes) -> dict[str, typing.Any]:
    try:
        body = json.loads(text)
    except ValueError as error:
        raise errors.BadRequest(f'the body is not JSON: {error}') from None
    if not isinstance(body, dict) or not isinstance(
        body.get('messages'), list
    ):
        raise errors.BadRequest('messages: expected a list')
    return body


def _derive_chat_name(body: dict[str, typing.Any]) -> str:
    """Return a name for a chat, derived from its first messages."""
    text = json.dumps(body['messages'][:_IDENTIFYING_MESSAGES], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:32]
