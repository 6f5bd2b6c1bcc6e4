"""The leader's side of the routers' streams.

Each stream has one task that reads and one that writes. Both end with the
stream, and all streams end with the leadership.
"""

import asyncio
import collections.abc
import contextlib
import time

import attrs
import grpc

from honeyport.bundle import entries as bundle_entries
from honeyport.bundle import model
from honeyport.control import fleet
from honeyport.control import instance_lists
from honeyport.control import replica
from honeyport.control import router_updates
from honeyport.control import suspects
from honeyport import errors
from honeyport.policy import pacing
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc
from honeyport.wire import outbox

_TICK_S = 0.05  # period of checks and of updates to the routers
# Report periods after which a router's load is ignored.
_MAX_REPORT_AGE_PERIODS = 3
_State = pb.ClaimAnswer

_Batches = collections.abc.AsyncIterator[pb.RouterBatch]


@attrs.define
class Session:
    """One router's stream.

    :ivar hello: the router's first message
    :ivar sent_state: the state that was sent on it, or that the router had
        before
    :ivar sent_loads_number: the number of the loads that were sent last
    :ivar loads_requested: whether a report is to be answered with loads
    """

    router: fleet.Router
    outbox: outbox.Outbox[pb.ControlItem]
    hello: pb.Hello
    sent_state: router_updates.SyncState
    sent_loads_number: int = 0
    loads_requested: bool = False


@attrs.frozen
class _PendingClaim:
    """A claim to commit, and the stream that it came on."""

    session: Session
    request: pb.ClaimRequest


class Sessions(rpc.SessionServicer):
    """All streams of routers to this replica.

    :param counters: the process's metrics
    :param bandwidth_mbps: bandwidth of the replica's link, in Mbit/s
    """

    def __init__(
        self,
        node: replica.Replica,
        counters: metrics.Metrics,
        bandwidth_mbps: float = 1000.0,
    ) -> None:
        self._node = node
        self._rate_limit = pacing.for_link(bandwidth_mbps)
        self._metrics = counters
        self._sessions: dict[str, Session] = {}
        self._lists = instance_lists.InstanceLists()
        self._fleet = fleet.Fleet(0, 0.0)
        self._suspects = suspects.Suspects(
            node,
            lambda router, incarnation: self._fleet.is_alive(
                router, incarnation
            ),
            counters,
        )
        self._term = 0
        self._bundle: model.Bundle | None = None
        self._cached_timing = (0, model.Timing())
        self._pending_claims: outbox.Outbox[_PendingClaim] = outbox.Outbox()
        self._version_in_force = 0
        self._updates = self._make_updates()
        counters.gauge('control_sessions', lambda: len(self._sessions))
        counters.gauge('control_claims', lambda: len(node.machine.claims))

    def use_instance_lists(self, lists: instance_lists.InstanceLists) -> None:
        """Set the instance lists that are sent to the routers."""
        self._lists = lists

    @property
    def fleet(self) -> fleet.Fleet:
        """The routers of the current term."""
        return self._fleet

    @property
    def suspects(self) -> suspects.Suspects:
        """The record of requests under which instances ended."""
        return self._suspects

    @property
    def attached(self) -> collections.abc.Set[str]:
        """The names of the routers with a stream."""
        return self._sessions.keys()

    @property
    def bundle(self) -> model.Bundle | None:
        """The accepted bundle, or ``None`` before the first."""
        accepted = self._node.machine.accepted
        if not accepted.version:
            return None
        if self._bundle is None or self._bundle.version != accepted.version:
            self._bundle = bundle_entries.from_entries(
                accepted.version, accepted.entries
            )
        return self._bundle

    def find_unconfirmed_evacuations(
        self, domains: frozenset[str]
    ) -> list[str]:
        """Return the attached routers that do not apply evacuations yet.

        :param domains: the evacuated failure domains
        :returns: their names
        """
        return self._fleet.find_unconfirmed_evacuations(domains)

    @property
    def in_force(self) -> bool:
        """Whether every router with a lease applies the accepted version."""
        version = self._node.machine.accepted.version
        return self._node.leads and self._fleet.in_force(version, _now())

    async def Attach(
        self,
        request_iterator: _Batches,
        context: grpc.aio.ServicerContext,
    ) -> collections.abc.AsyncIterator[pb.ControlBatch]:
        first = await anext(aiter(request_iterator), None)
        if first is None or not first.items[0].HasField('hello'):
            return
        hello = first.items[0].hello
        if not self._is_active or not await self._commit_address(hello):
            yield pb.ControlBatch(items=[self._redirect()])
            return
        session = self._open(hello)
        reader = asyncio.create_task(self._read(session, request_iterator))
        try:
            while await session.outbox.wait():
                items = self._take_items(session)
                if items:
                    yield pb.ControlBatch(items=items)
        finally:
            reader.cancel()
            self._close(session)

    async def run(self) -> None:
        """Update leadership, leases and versions until cancelled."""
        while True:
            await asyncio.sleep(_TICK_S)
            self._watch_leadership()
            if self._is_active:
                self._tick()

    async def run_claims(self) -> None:
        """Commit pending claims in batches until cancelled."""
        while True:
            pending = await self._pending_claims.take()
            attached = [
                claim for claim in pending if not claim.session.outbox.closed
            ]
            if attached:
                await self._commit_claims(attached)

    @property
    def _is_active(self) -> bool:
        """Whether this replica leads and its state is that of the term."""
        return self._node.leads and self._term == self._node.term

    async def _commit_address(self, hello: pb.Hello) -> bool:
        """Commit a router's address before it gets a stream.

        After a restart of all processes the leader can then contact every
        router that was attached before.

        :returns: whether it is committed and this replica still leads
        """
        committed_address = self._node.machine.routers.get(hello.router)
        if not hello.peer_address or committed_address == hello.peer_address:
            return True
        put = {hello.router: hello.peer_address}
        try:
            await self._node.propose(pb.RouterChange(put=put))
        except errors.HoneyportError as error:  # the router attaches again
            logs.emit(
                events.ROUTERS_UNSAVED, code=error.code, detail=error.detail
            )
            return False
        logs.emit(events.ROUTERS_CHANGED, put=sorted(put), removed=[])
        return self._is_active

    def _watch_leadership(self) -> None:
        if self._node.role == replica.LEADER:
            if self._term != self._node.term and self._node.leads:
                self._start_term()
        elif self._term:
            self._end_term()

    def _start_term(self) -> None:
        self._term = self._node.term
        stable_at = self._node.leader_since + self._lease_s()
        self._fleet = fleet.Fleet(self._term, stable_at, self._lists)
        self._suspects.start_term()
        self._updates = self._make_updates()

    def _make_updates(self) -> router_updates.RouterUpdates:
        return router_updates.RouterUpdates(
            self._node,
            self._fleet,
            self._lists,
            self._suspects,
            self._rate_limit,
        )

    def _end_term(self) -> None:
        self._term = 0
        for session in self._sessions.values():
            session.outbox.put(self._redirect())
            session.outbox.close()
        self._sessions.clear()

    def _open(self, hello: pb.Hello) -> Session:
        previous_session = self._sessions.pop(hello.router, None)
        if previous_session is not None:
            previous_session.outbox.close()
        router = self._fleet.register(hello, _now(), self._lease_s())
        sent_state = self._updates.initial_state(hello)
        session = Session(router, outbox.Outbox(), hello, sent_state)
        self._sessions[hello.router] = session
        return session

    def _close(self, session: Session) -> None:
        name = session.router.member.router
        if self._sessions.get(name) is session:
            del self._sessions[name]
        session.outbox.close()

    async def _read(self, session: Session, batches: _Batches) -> None:
        with contextlib.suppress(grpc.RpcError):
            async for batch in batches:
                if session.outbox.closed:
                    return
                for item in batch.items:
                    self._handle_item(session, item)
        if session.router.member.leaving:
            self._fleet.remove(session.router)
        else:
            self._fleet.mark_silent(session.router)
        session.outbox.close()

    def _handle_item(self, session: Session, item: pb.RouterItem) -> None:
        if item.HasField('report'):
            self._handle_report(session, item.report)
        elif item.HasField('claim'):
            self._pending_claims.put(_PendingClaim(session, item.claim))
        elif self._node.leads:
            answer = self._suspects.handle_item(session.router.member, item)
            if answer is not None:
                session.outbox.put(answer)

    def _handle_report(self, session: Session, report: pb.Report) -> None:
        """Renew the router's lease and queue the answer, while leading."""
        self._metrics.count('control_reports')
        if not self._node.leads:
            return
        if not self._fleet.has_lease(session.router):
            session.outbox.close()  # lease ended: it attaches again
            return
        self._fleet.apply_report(
            session.router, report, _now(), self._lease_s()
        )
        answer = pb.ReportAnswer(
            number=report.number,
            lease_ms=int(self._lease_s() * 1000),
            stamp=self._fleet.stamp(_now()),
        )
        session.loads_requested = True
        session.outbox.put(pb.ControlItem(answer=answer))

    def _take_items(self, session: Session) -> list[pb.ControlItem]:
        """Return the items to send on a stream now.

        An answer grants a lease, so it comes after all state that the router
        needs before it serves.
        """
        queued = session.outbox.drain()
        if session.outbox.closed:
            return queued
        items = []
        if session.sent_state is not self._updates.latest:
            items, session.sent_state = self._updates.items_since(
                session.sent_state, session.hello
            )
        loads = self._fleet.loads
        # Loads refer to instances by index in the latest list.
        has_list = session.sent_state.instances == self._lists.number
        if (
            session.loads_requested
            and has_list
            and loads.number != session.sent_loads_number
        ):
            message = loads.message(session.sent_loads_number)
            session.sent_loads_number = loads.number
            items.append(pb.ControlItem(loads=message))
        session.loads_requested = False
        for item in queued:
            if item.HasField('answer'):
                # The router subtracts its own report from the loads; they
                # are newer than the answer, and may contain a later report.
                item.answer.counted = session.router.counted_report_number
        return items + queued

    def _tick(self) -> None:
        self._lists.publish()
        self._fleet.refresh(_now())
        self._fleet.update_loads(_now(), self._max_report_age_s())
        self._suspects.refresh()
        self._updates.refresh()
        for session in self._sessions.values():
            # By identity: comparing the values is too slow for all streams.
            if session.sent_state is not self._updates.latest:
                session.outbox.wake()
        version = self._node.machine.accepted.version
        if version > self._version_in_force and self.in_force:
            self._version_in_force = version
            logs.emit(events.BUNDLE_IN_FORCE, version=version)

    async def _commit_claims(self, pending: list[_PendingClaim]) -> None:
        batch = pb.ClaimBatch(now_s=time.time())
        batch.requests.extend(claim.request for claim in pending)
        try:
            answers = await self._node.propose(batch)
        except errors.HoneyportError:
            answers = [
                pb.ClaimAnswer(id=claim.request.id, state=_State.FAILED)
                for claim in pending
            ]
        self._metrics.count('control_claims_committed', len(pending))
        for claim, answer in zip(pending, answers, strict=True):
            if answer.state == _State.RUNNING:
                answer.state = self._holder_state(claim.request.key)
            claim.session.outbox.put(pb.ControlItem(claim=answer))

    def _holder_state(self, key: str) -> 'pb.ClaimAnswer.State':
        """Return the state of a claim, depending on its holder's lease."""
        holder = self._node.machine.claims.holder(key)
        router, _, suffix = holder.partition('/')
        incarnation, _, _ = suffix.partition('/')
        if self._fleet.is_alive(router, incarnation):
            return _State.RUNNING
        return _State.UNKNOWN

    def _max_report_age_s(self) -> float:
        """The maximum age of a router's load, in seconds."""
        return (
            _MAX_REPORT_AGE_PERIODS * self._timing().report_ms / 1000 + _TICK_S
        )

    def _timing(self) -> model.Timing:
        """Return periods and leases without parsing the whole bundle."""
        accepted = self._node.machine.accepted
        if self._cached_timing[0] != accepted.version:
            timing = bundle_entries.timing(accepted.entries)
            self._cached_timing = (accepted.version, timing)
        return self._cached_timing[1]

    def _lease_s(self) -> float:
        return self._timing().lease_ms / 1000

    def _redirect(self) -> pb.ControlItem:
        return pb.ControlItem(
            redirect=pb.Redirect(
                leader=self._node.leader_address,
                replicas=self._node.member_addresses,
            )
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
