"""The address discovery API: ``GET /v1/addresses``.

The first address is that of the router that owns the chat's first backend
server. A request that is sent there needs no hop to another router.
"""

from honeyport import errors
from honeyport.router import edge

_MAX_ADDRESSES = 3


@edge.register('/v1/addresses')
class AddressHandler(edge.Handler):
    """Serves the routers' addresses for a service and a chat, best first."""

    def get(self) -> None:
        try:
            self.write(self._find())
        except errors.HoneyportError as error:
            self.set_status(error.status)
            if error.retry_after is not None:
                self.set_header('Retry-After', '1')
            self.write({'error': error.to_dict()})

    def _find(self) -> dict[str, object]:
        services = self._services
        state = services.state
        service = self.get_argument('service', '')
        chat = self.get_argument('chat', '')
        hint = self.get_argument('placement', '')
        bundle = state.bundle
        backends = services.dispatcher.candidates(service, chat, hint)
        routers = dict.fromkeys(state.owner(name) for name in backends)
        for router in state.members:
            routers.setdefault(router)
        addresses = [
            {'router': router, 'address': state.members[router].address}
            for router in routers
            if router in state.members
        ]
        if not addresses:
            raise errors.NotReady('no router is in the view', retry_after=1.0)
        return {
            'addresses': addresses[:_MAX_ADDRESSES],
            'ttl_s': bundle.timing.address_ttl_s,
            'placement': backends[0] if backends else '',
        }
