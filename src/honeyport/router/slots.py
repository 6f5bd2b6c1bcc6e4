"""What a steward keeps for one backend server."""

import attrs

from honeyport.backend import registry
from honeyport.bundle import model
from honeyport.router import fair_queue
from honeyport.router import prefix_transfer

DOWN_AFTER = 2  # failed connections in a row
_FIRST_SERVICE_S = 0.5  # guess of a request's time before one was seen


@attrs.define
class Slot:
    """One backend server under this router's care.

    :param ready: whether no other router can still be sending to it
    :param foreign: requests of a former steward that it may still run
    """

    name: str
    kind: str
    backend: model.Backend
    client: registry.Client
    hot: prefix_transfer.HotChats
    queue: fair_queue.FairQueue = attrs.field(init=False)
    running: int = 0
    ready: bool = False
    owned: bool = False
    foreign: int = 0
    probed: bool = False
    failures: int = 0
    limit: float = 0.0
    service_s: float = _FIRST_SERVICE_S

    def __attrs_post_init__(self) -> None:
        self.queue = fair_queue.FairQueue(self.give_back)

    def give_back(self) -> None:
        """Count one request less."""
        self.running -= 1

    @property
    def id(self) -> str:
        """Its name, as the witness of ends asks for it."""
        return self.name

    @property
    def address(self) -> str:
        """Where it listens."""
        return self.backend.address

    @property
    def down(self) -> bool:
        """Whether it does not answer."""
        return self.failures >= DOWN_AFTER
