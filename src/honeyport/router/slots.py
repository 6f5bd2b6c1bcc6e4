"""The admission state of one backend server."""

import attrs

from honeyport.backend import registry
from honeyport.bundle import model
from honeyport.router import prefix_transfer
from honeyport.router import shares

DOWN_AFTER_FAILURES = 2  # consecutive failed connections
_INITIAL_MEAN_DURATION_S = 0.5  # until the first request has ended


@attrs.define
class BackendState:
    """One backend server, its queue and its load as known here.

    :ivar config: its entry in the bundle
    :ivar recent_chats: the chats whose prefixes it may have cached
    :ivar running: the requests that this router runs there
    :ivar ready: whether no other router can still be sending to it
    :ivar owned: whether this router is its owner
    :ivar untracked_running: requests of previous owners that it may still run
    :ivar probed: whether it was probed since this router became its owner
    :ivar failures: consecutive failed connections
    :ivar limit: adaptive concurrency limit (additive increase, multiplicative
        decrease)
    :ivar mean_duration_s: moving average of the requests' durations
    """

    name: str
    kind: str
    config: model.Backend
    client: registry.Client
    recent_chats: prefix_transfer.RecentChats
    queue: shares.FairQueue = attrs.field(init=False)
    running: int = 0
    ready: bool = False
    owned: bool = False
    untracked_running: int = 0
    probed: bool = False
    failures: int = 0
    limit: float = 0.0
    mean_duration_s: float = _INITIAL_MEAN_DURATION_S

    def __attrs_post_init__(self) -> None:
        self.queue = shares.FairQueue(self.release)

    def release(self) -> None:
        """Free the slot of a request that was granted one but not sent."""
        self.running -= 1

    @property
    def id(self) -> str:
        """The name, under which the end detector tracks the server."""
        return self.name

    @property
    def address(self) -> str:
        """The address that it listens on."""
        return self.config.address

    @property
    def down(self) -> bool:
        """Whether its last connections failed."""
        return self.failures >= DOWN_AFTER_FAILURES
