"""RPC service of the control group for operators."""

import asyncio

import grpc

from honeyport.bundle import entries as bundle_entries
from honeyport.bundle import model
from honeyport.bundle import signing
from honeyport.control import evacuations
from honeyport.control import replica
from honeyport.control import sessions
from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc


class OperatorService(rpc.OperatorServicer):
    """Accepts bundles, membership changes and evacuations; returns status.

    :param genesis: the signers of the first bundle
    """

    def __init__(
        self,
        node: replica.Replica,
        routers: sessions.Sessions,
        genesis: model.Signers,
    ) -> None:
        self._node = node
        self._sessions = routers
        self._genesis = genesis
        self._evacuations = evacuations.Evacuations(
            node, routers.find_unconfirmed_evacuations
        )

    async def Submit(
        self, request: pb.SubmitRequest, context: grpc.aio.ServicerContext
    ) -> pb.SubmitAnswer:
        try:
            return await self.submit(signing.from_json(request.signed))
        except errors.HoneyportError as error:
            return pb.SubmitAnswer(
                failure=_refuse(error, 'Submit'),
                leader=self._node.leader_address,
            )

    async def Change(
        self, request: pb.ChangeRequest, context: grpc.aio.ServicerContext
    ) -> pb.SubmitAnswer:
        try:
            await self._node.change_membership(request.name, request.address)
            return pb.SubmitAnswer()
        except errors.HoneyportError as error:
            return pb.SubmitAnswer(
                failure=_refuse(error, 'Change'),
                leader=self._node.leader_address,
            )

    async def Evacuate(
        self, request: pb.EvacuateRequest, context: grpc.aio.ServicerContext
    ) -> pb.EvacuateAnswer:
        try:
            await self._evacuate(request.domain, ends=request.ends)
            return pb.EvacuateAnswer()
        except errors.HoneyportError as error:
            return pb.EvacuateAnswer(
                failure=_refuse(error, 'Evacuate'),
                leader=self._node.leader_address,
            )

    async def Status(
        self, request: pb.StatusRequest, context: grpc.aio.ServicerContext
    ) -> pb.StatusAnswer:
        if not self._node.leads:
            error = errors.NotLeader(leader=self._node.leader_address)
            return pb.StatusAnswer(
                failure=_failure(error), leader=self._node.leader_address
            )
        return self._status()

    async def submit(self, signed: signing.Signed) -> pb.SubmitAnswer:
        """Accept a signed bundle.

        A repeated submission of the same version and digest gets the same
        receipt.

        :raises errors.HoneyportError: if it is not accepted
        """
        if not self._node.leads:
            raise errors.NotLeader(leader=self._node.leader_address)
        accepted = self._node.machine.accepted
        receipt = self._receipt(signed)
        if receipt is not None:
            return receipt
        signing.check(signed)
        signing.verify(signed, self._signers())
        delta = bundle_entries.diff(
            accepted.version, accepted.entries, signed.version, signed.entries
        )
        command = pb.AcceptBundle(
            base=accepted.version,
            version=signed.version,
            digest=signed.digest,
            put=delta.put,
            removed=delta.removed,
            signatures=signed.signatures,
        )
        if await self._node.propose(command):
            logs.emit(
                events.BUNDLE_ACCEPTED,
                version=signed.version,
                digest=signed.digest,
            )
            return pb.SubmitAnswer(
                version=signed.version, digest=signed.digest
            )
        return self._receipt(signed) or self._raise_conflict(signed)

    async def seed(self, signed: signing.Signed) -> None:
        """Submit the first bundle as soon as this replica leads.

        Return when any bundle is accepted.
        """
        while not self._node.machine.accepted.version:
            if self._node.leads:
                await self.submit(signed)
            await asyncio.sleep(0.1)

    async def _evacuate(self, domain: str, *, ends: bool) -> None:
        """Begin or end an evacuation.

        :raises errors.UnknownDomain: if the domain has no router and no
            backend server
        """
        if not self._node.leads:
            raise errors.NotLeader(leader=self._node.leader_address)
        known_domains = {
            router.member.domain for router in self._sessions.fleet.routers
        }
        bundle = self._sessions.bundle
        if bundle is not None:
            known_domains |= {
                backend.domain for backend in bundle.backends.values()
            }
        if domain not in known_domains:
            raise errors.UnknownDomain(
                f'no failure domain {domain!r}; '
                f'the known ones are {sorted(known_domains)}'
            )
        await self._evacuations.order(domain, ends=ends)

    def _receipt(self, signed: signing.Signed) -> pb.SubmitAnswer | None:
        """Return the receipt of a version that was accepted before.

        :returns: ``None`` if the version is the next one
        :raises errors.VersionConflict: if another bundle has the version,
            or the version does not follow the accepted one
        """
        digest = self._node.machine.history.get(signed.version)
        if digest == signed.digest:
            return pb.SubmitAnswer(version=signed.version, digest=digest)
        next_version = self._node.machine.accepted.version + 1
        if digest is not None or signed.version != next_version:
            self._raise_conflict(signed)
        return None

    def _raise_conflict(self, signed: signing.Signed) -> pb.SubmitAnswer:
        accepted = self._node.machine.accepted
        accepted_digest = self._node.machine.history.get(signed.version)
        if accepted_digest:
            raise errors.VersionConflict(
                f'version {signed.version} was accepted with the digest '
                f'{accepted_digest}'
            )
        raise errors.VersionConflict(
            f'version {signed.version} does not follow the accepted '
            f'version {accepted.version} ({accepted.digest})'
        )

    def _signers(self) -> model.Signers:
        bundle = self._sessions.bundle
        return bundle.signers if bundle else self._genesis

    def _status(self) -> pb.StatusAnswer:
        accepted = self._node.machine.accepted
        answer = pb.StatusAnswer(
            leader=self._node.leader_address,
            term=self._node.term,
            commit=self._node.commit,
            version=accepted.version,
            digest=accepted.digest,
            in_force=self._sessions.in_force,
            entries=accepted.entries,
            evacuated=sorted(self._evacuations.evacuated),
        )
        now = asyncio.get_running_loop().time()
        for router in self._sessions.fleet.routers:
            answer.routers.add(
                member=router.member,
                config_version=router.config_version,
                view=router.view,
                lease_left_s=router.lease_expires_at - now,
                silent_s=now - router.last_report_at,
                loads=router.loads.values(),
            )
        matched = self._node.match_indexes()
        for member in self._node.members.replicas:
            answer.replicas.add(
                replica=member,
                matched=matched.get(member.name, self._node.commit),
            )
        for version, digest in sorted(self._node.machine.history.items()):
            answer.history.add(version=version, digest=digest)
        return answer


def _refuse(error: errors.HoneyportError, method: str) -> pb.Failure:
    """Log that a request was refused, and return the failure to answer."""
    logs.emit(
        events.OPERATOR_ANSWERED,
        path=method,
        status=error.status,
        code=error.code,
        detail=error.detail,
    )
    return _failure(error)


def _failure(error: errors.HoneyportError) -> pb.Failure:
    return pb.Failure(
        code=error.code,
        detail=error.detail,
        retry_after_s=error.retry_after or 0.0,
    )
