"""Asks the keeper in the same process for slots."""

import asyncio

from honeyport.gateway import queue_keeper
from honeyport.router import relay
from honeyport.wire import honeyport_pb2 as pb


class LocalSlots:
    """The asking side of the keeper in the same process.

    Frames are passed on by the event loop, as those of other gateways are.

    :param receive: called with each frame for a stream that was opened here
    """

    def __init__(
        self, keeper: queue_keeper.QueueKeeper, receive: relay.ReceiveSlots
    ) -> None:
        self._receive = receive
        self._numbers = 0
        self._open: set[int] = set()
        self._link = keeper.open(self._pass_on)

    @property
    def closed(self) -> bool:
        """Whether the link was lost, which does not happen here."""
        return False

    def open(self, *, is_idle: bool = False) -> int:
        """Return the number of a new stream."""
        self._numbers += 1
        self._open.add(self._numbers)
        return self._numbers

    def send(self, frame: pb.Frame) -> None:
        """Send a frame."""
        self._link.handle(frame)

    def close(self, number: int) -> None:
        """Receive no more frames of a stream."""
        self._open.discard(number)

    def _pass_on(self, frame: pb.Frame) -> None:
        asyncio.get_running_loop().call_soon(self._deliver, frame)

    def _deliver(self, frame: pb.Frame) -> None:
        if frame.stream in self._open:
            self._receive(frame)
