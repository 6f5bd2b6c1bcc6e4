"""gRPC client and server of the control replicas."""

import collections.abc
import typing

import grpc

from honeyport.control import replica
from honeyport import errors
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc

_INSTALL_TIMEOUT_S = 30.0

Answer = typing.TypeVar('Answer')


class GrpcLink:
    """gRPC client of the replica at an address.

    Failed calls raise ``ConnectionError``.

    :param timeout_s: timeout of all calls but ``install``
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._stub = rpc.ReplicaStub(channels.connect(address))

    async def vote(self, request: pb.VoteRequest) -> pb.VoteAnswer:
        return await _await_answer(
            self._stub.Vote(request, timeout=self._timeout_s)
        )

    async def append(self, request: pb.AppendRequest) -> pb.AppendAnswer:
        return await _await_answer(
            self._stub.Append(request, timeout=self._timeout_s)
        )

    async def install(self, request: pb.InstallRequest) -> pb.AppendAnswer:
        return await _await_answer(
            self._stub.Install(request, timeout=_INSTALL_TIMEOUT_S)
        )

    async def identify(self) -> pb.IdentifyAnswer:
        return await _await_answer(
            self._stub.Identify(pb.IdentifyRequest(), timeout=self._timeout_s)
        )


class ReplicaServicer(rpc.ReplicaServicer):
    """Passes RPCs of other replicas to the replica of this process."""

    def __init__(self, node: replica.Replica) -> None:
        self._node = node

    async def Vote(
        self, request: pb.VoteRequest, context: grpc.aio.ServicerContext
    ) -> pb.VoteAnswer:
        return await _abort_on_storage_failure(
            self._node.on_vote(request), context
        )

    async def Append(
        self, request: pb.AppendRequest, context: grpc.aio.ServicerContext
    ) -> pb.AppendAnswer:
        return await _abort_on_storage_failure(
            self._node.on_append(request), context
        )

    async def Install(
        self, request: pb.InstallRequest, context: grpc.aio.ServicerContext
    ) -> pb.AppendAnswer:
        return await _abort_on_storage_failure(
            self._node.on_install(request), context
        )

    async def Identify(
        self, request: pb.IdentifyRequest, context: grpc.aio.ServicerContext
    ) -> pb.IdentifyAnswer:
        return await self._node.on_identify()


async def _abort_on_storage_failure(
    answer: collections.abc.Awaitable[Answer],
    context: grpc.aio.ServicerContext,
) -> Answer:
    """Return an answer; abort with UNAVAILABLE if our disk failed."""
    try:
        return await answer
    except errors.StorageFailed as error:
        await context.abort(grpc.StatusCode.UNAVAILABLE, error.detail)


async def _await_answer(call: collections.abc.Awaitable[Answer]) -> Answer:
    try:
        return await call
    except grpc.aio.AioRpcError as error:
        raise ConnectionError(error.code().name) from None
