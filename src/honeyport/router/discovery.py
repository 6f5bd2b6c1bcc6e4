"""Which address to use: ``GET /v1/addresses``.

The first address is the steward's of the chat's engine, so a caller that
asks first needs no hop behind it.
"""

from honeyport import errors
from honeyport.router import edge

_MOST = 3


@edge.register('/v1/addresses')
class AddressHandler(edge.Handler):
    """Addresses for a service and a chat, the best one first."""

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
        names = services.dispatcher.candidates(service, chat, hint)
        routers = dict.fromkeys(state.owner(name) for name in names)
        for router in state.members:
            routers.setdefault(router)
        addresses = [
            {'router': router, 'address': state.members[router].address}
            for router in routers
            if router in state.members
        ]
        if not addresses:
            raise errors.NotReady('no router may serve', retry_after=1.0)
        return {
            'addresses': addresses[:_MOST],
            'ttl_s': bundle.timing.address_ttl_s,
            'placement': names[0] if names else '',
        }
