"""Tells others where control is, and listens to a leader that calls."""

import collections.abc

import grpc

from honeyport.router import session
from honeyport import supervisor
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc

_STOP_GRACE_S = 0.2


class Signpost(rpc.SessionServicer):
    """Sends on whoever takes this process for a control replica."""

    def __init__(self, own: session.Session) -> None:
        self._session = own

    async def Attach(
        self,
        request_iterator: collections.abc.AsyncIterator[pb.RouterBatch],
        context: grpc.aio.ServicerContext,
    ) -> collections.abc.AsyncIterator[pb.ControlBatch]:
        redirect = pb.ControlItem(redirect=self._session.whereabouts())
        yield pb.ControlBatch(items=[redirect])


async def serve(
    address: str, own: session.Session, tree: supervisor.Supervisor
) -> None:
    """Listen at the address where other processes connect."""
    server = channels.server()
    rpc.add_SessionServicer_to_server(Signpost(own), server)
    server.add_insecure_port(address)
    await server.start()
    tree.on_stop('signpost', lambda: server.stop(_STOP_GRACE_S))
