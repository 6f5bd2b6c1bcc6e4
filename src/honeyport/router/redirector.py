"""Services by which other processes find control through this router."""

import collections.abc

import grpc

from honeyport.router import session
from honeyport import supervisor
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc

_STOP_GRACE_S = 0.2

Register = collections.abc.Callable[[grpc.aio.Server], None]


class ContactServicer(rpc.ContactServicer):
    """Receives introductions from leaders."""

    def __init__(self, router_session: session.Session) -> None:
        self._session = router_session

    async def Introduce(
        self, request: pb.Redirect, context: grpc.aio.ServicerContext
    ) -> pb.Empty:
        self._session.handle_introduction(request)
        return pb.Empty()


class Redirector(rpc.SessionServicer):
    """Redirects routers that try to attach to this process as a leader."""

    def __init__(self, router_session: session.Session) -> None:
        self._session = router_session

    async def Attach(
        self,
        request_iterator: collections.abc.AsyncIterator[pb.RouterBatch],
        context: grpc.aio.ServicerContext,
    ) -> collections.abc.AsyncIterator[pb.ControlBatch]:
        redirect = pb.ControlItem(redirect=self._session.control_location())
        yield pb.ControlBatch(items=[redirect])


def register(
    server: grpc.aio.Server,
    router_session: session.Session,
    *,
    beside_replica: bool,
) -> None:
    """Add the services to a gRPC server.

    :param beside_replica: whether a control replica is served there, too,
        which redirects by itself
    """
    rpc.add_ContactServicer_to_server(ContactServicer(router_session), server)
    if not beside_replica:
        rpc.add_SessionServicer_to_server(Redirector(router_session), server)


async def serve(
    address: str,
    router_session: session.Session,
    tree: supervisor.Supervisor,
    register_others: Register,
) -> None:
    """Serve the services at an address until the supervisor stops.

    :param register_others: adds further services to the server
    """
    server = channels.server()
    register(server, router_session, beside_replica=False)
    register_others(server)
    server.add_insecure_port(address)
    await server.start()
    tree.on_stop('redirector', lambda: server.stop(_STOP_GRACE_S))
