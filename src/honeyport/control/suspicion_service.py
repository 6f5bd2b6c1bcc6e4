"""RPC service with which operators list and clear suspect requests."""

import grpc

from honeyport.control import replica
from honeyport.control import suspects
from honeyport import errors
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc

_OPERATOR = 'operator'


class SuspicionService(rpc.SuspicionServicer):
    """Servicer of every control replica; only the leader lists and clears."""

    def __init__(
        self, node: replica.Replica, record: suspects.Suspects
    ) -> None:
        self._node = node
        self._suspects = record

    async def List(
        self, request: pb.SuspectsRequest, context: grpc.aio.ServicerContext
    ) -> pb.SuspectsAnswer:
        if not self._node.leads:
            return pb.SuspectsAnswer(
                failure=self._not_leader(), leader=self._node.leader_address
            )
        return pb.SuspectsAnswer(
            suspects=self._suspects.message(),
            records=self._suspects.records(),
        )

    async def Clear(
        self, request: pb.ClearRequest, context: grpc.aio.ServicerContext
    ) -> pb.ClearAnswer:
        if not self._node.leads:
            return pb.ClearAnswer(
                failure=self._not_leader(), leader=self._node.leader_address
            )
        known = self._suspects.clear([request.request.hex()], by=_OPERATOR)
        return pb.ClearAnswer(known=known)

    def _not_leader(self) -> pb.Failure:
        return pb.Failure(
            code=errors.NotLeader.code, detail=errors.NotLeader.hint
        )
