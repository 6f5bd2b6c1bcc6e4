"""What a router answers to other processes that look for control."""

import collections.abc

import grpc

from honeyport.router import session
from honeyport import supervisor
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc

_STOP_GRACE_S = 0.2


class ContactServicer(rpc.ContactServicer):
    """Lets a leader say where it is."""

    def __init__(self, own: session.Session) -> None:
        self._session = own

    async def Introduce(
        self, request: pb.Redirect, context: grpc.aio.ServicerContext
    ) -> pb.Empty:
        self._session.handle_introduction(request)
        return pb.Empty()


class Redirector(rpc.SessionServicer):
    """Sends on whoever takes this process for a control replica."""

    def __init__(self, own: session.Session) -> None:
        self._session = own

    async def Attach(
        self,
        request_iterator: collections.abc.AsyncIterator[pb.RouterBatch],
        context: grpc.aio.ServicerContext,
    ) -> collections.abc.AsyncIterator[pb.ControlBatch]:
        redirect = pb.ControlItem(redirect=self._session.control_location())
        yield pb.ControlBatch(items=[redirect])


def register(
    server: grpc.aio.Server, own: session.Session, *, beside_replica: bool
) -> None:
    """Add what every router answers to a server.

    :param beside_replica: whether a control replica is served there, which
        says by itself who leads
    """
    rpc.add_ContactServicer_to_server(ContactServicer(own), server)
    if not beside_replica:
        rpc.add_SessionServicer_to_server(Redirector(own), server)


async def serve(
    address: str, own: session.Session, tree: supervisor.Supervisor
) -> None:
    """Listen at the address where other processes connect."""
    server = channels.server()
    register(server, own, beside_replica=False)
    server.add_insecure_port(address)
    await server.start()
    tree.on_stop('redirector', lambda: server.stop(_STOP_GRACE_S))
