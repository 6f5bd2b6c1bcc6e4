"""The leader's side of the routers' streams.

One task reads a router's messages and one writes; both end with the
stream, and all end with the leadership.
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

_TICK_S = 0.05
_FRESH_REPORTS = 3
_State = pb.ClaimAnswer

_Batches = collections.abc.AsyncIterator[pb.RouterBatch]


@attrs.define
class Session:
    """One router's stream.

    :ivar hello: how the router introduced itself
    :ivar told: what went out on it, or was known before
    :ivar sent_loads: the number of the loads that went out last
    :ivar wants_loads: whether a report waits for the loads of all
    """

    router: fleet.Router
    outbox: outbox.Outbox[pb.ControlItem]
    hello: pb.Hello
    sent_state: router_updates.SyncState
    sent_loads_number: int = 0
    loads_requested: bool = False


@attrs.frozen
class _Waiting:
    session: Session
    request: pb.ClaimRequest


class Sessions(rpc.SessionServicer):
    """All streams of routers to this replica.

    :param bandwidth_mbps: bandwidth of its link, in Mbit/s
    """

    def __init__(
        self,
        node: replica.Replica,
        counters: metrics.Metrics,
        bandwidth_mbps: float = 1000.0,
    ) -> None:
        self._node = node
        self._pace = pacing.link(bandwidth_mbps)
        self._metrics = counters
        self._sessions: dict[str, Session] = {}
        self._lists = instance_lists.InstanceLists()
        self._fleet = fleet.Fleet(0, 0.0)
        self._suspects = suspects.Suspects(
            node,
            lambda router, run: self._fleet.is_alive(router, run),
            counters,
        )
        self._term = 0
        self._bundle: model.Bundle | None = None
        self._timing_of = (0, model.Timing())
        self._claims: outbox.Outbox[_Waiting] = outbox.Outbox()
        self._in_force = 0
        self._news = self._make_news()
        counters.gauge('control_sessions', lambda: len(self._sessions))
        counters.gauge('control_claims', lambda: len(node.machine.claims))

    def use_instance_lists(self, lists: instance_lists.InstanceLists) -> None:
        """Send the routers the latest of these lists."""
        self._lists = lists

    @property
    def fleet(self) -> fleet.Fleet:
        """The routers of this leadership."""
        return self._fleet

    @property
    def suspects(self) -> suspects.Suspects:
        """The requests under which instances ended."""
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

    @property
    def in_force(self) -> bool:
        """Whether the accepted version is in force everywhere."""
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
        if not self._in_charge or not await self._remember(hello):
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
        """Watch leadership, leases and the accepted version."""
        while True:
            await asyncio.sleep(_TICK_S)
            self._watch_leadership()
            if self._in_charge:
                self._tick()

    async def run_claims(self) -> None:
        """Commit claims, many at a time."""
        while True:
            waiting = await self._claims.take()
            live = [one for one in waiting if not one.session.outbox.closed]
            if live:
                await self._commit_claims(live)

    @property
    def _in_charge(self) -> bool:
        """Whether we lead and have taken up this term's routers."""
        return self._node.leads and self._term == self._node.term

    async def _remember(self, hello: pb.Hello) -> bool:
        """Commit where a router listens before it gets a stream.

        Every router that was ever served can then be called after a loss of
        all processes, however soon that comes.

        :returns: whether it is committed and we are still in charge
        """
        known = self._node.machine.routers.get(hello.router)
        if not hello.peer_address or known == hello.peer_address:
            return True
        put = {hello.router: hello.peer_address}
        try:
            await self._node.propose(pb.RouterChange(put=put))
        except errors.HoneyportError as error:  # it will attach again
            logs.emit(
                events.ROUTERS_UNSAVED, code=error.code, detail=error.detail
            )
            return False
        logs.emit(events.ROUTERS_CHANGED, put=sorted(put), removed=[])
        return self._in_charge

    def _watch_leadership(self) -> None:
        if self._node.role == replica.LEADER:
            if self._term != self._node.term and self._node.leads:
                self._begin()
        elif self._term:
            self._end()

    def _begin(self) -> None:
        self._term = self._node.term
        stable_at = self._node.leader_since + self._lease_s()
        self._fleet = fleet.Fleet(self._term, stable_at, self._lists)
        self._suspects.start_term()
        self._news = self._make_news()

    def _make_news(self) -> router_updates.RouterUpdates:
        return router_updates.RouterUpdates(
            self._node,
            self._fleet,
            self._lists,
            self._suspects,
            self._pace,
        )

    def _end(self) -> None:
        self._term = 0
        for session in self._sessions.values():
            session.outbox.put(self._redirect())
            session.outbox.close()
        self._sessions.clear()

    def _open(self, hello: pb.Hello) -> Session:
        former = self._sessions.pop(hello.router, None)
        if former is not None:
            former.outbox.close()
        router = self._fleet.register(hello, _now(), self._lease_s())
        told = self._news.initial_state(hello)
        session = Session(router, outbox.Outbox(), hello, told)
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
                    self._take(session, item)
        if session.router.member.leaving:
            self._fleet.remove(session.router)
        else:
            self._fleet.mark_silent(session.router)
        session.outbox.close()

    def _take(self, session: Session, item: pb.RouterItem) -> None:
        if item.HasField('report'):
            self._handle_report(session, item.report)
        elif item.HasField('claim'):
            self._claims.put(_Waiting(session, item.claim))
        elif self._node.leads:
            answer = self._suspects.handle_item(session.router.member, item)
            if answer is not None:
                session.outbox.put(answer)

    def _handle_report(self, session: Session, report: pb.Report) -> None:
        """Answer a report, if we are still in charge."""
        self._metrics.count('control_reports')
        if not self._node.leads:
            return
        if not self._fleet.has_lease(session.router):
            session.outbox.close()  # it lapsed; it has to attach anew
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
        """Return what goes out on a stream now, the newest of everything.

        A lease is an answer, and stands behind all that its router has to
        know before it serves.
        """
        waiting = session.outbox.drain()
        if session.outbox.closed:
            return waiting
        items = []
        if session.sent_state is not self._news.latest:
            items, session.sent_state = self._news.items_since(
                session.sent_state, session.hello
            )
        loads = self._fleet.loads
        # Loads name instances by their indexes in the latest list.
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
        for item in waiting:
            if item.HasField('answer'):
                # The router takes this report of its own off the loads, which
                # are those of now, and not of when it was answered.
                item.answer.counted = session.router.counted_report_number
        return items + waiting

    def _tick(self) -> None:
        self._lists.publish()
        self._fleet.refresh(_now())
        self._fleet.update_loads(_now(), self._fresh_s())
        self._suspects.refresh()
        self._news.refresh()
        for session in self._sessions.values():
            # By identity: with 200 streams, comparing what each was told
            # with all that there is took a fifth of a core.
            if session.sent_state is not self._news.latest:
                session.outbox.wake()
        version = self._node.machine.accepted.version
        if version > self._in_force and self.in_force:
            self._in_force = version
            logs.emit(events.BUNDLE_IN_FORCE, version=version)

    async def _commit_claims(self, live: list[_Waiting]) -> None:
        batch = pb.ClaimBatch(now_s=time.time())
        batch.requests.extend(one.request for one in live)
        try:
            answers = await self._node.propose(batch)
        except errors.HoneyportError:
            answers = [
                pb.ClaimAnswer(id=one.request.id, state=_State.FAILED)
                for one in live
            ]
        self._metrics.count('control_claims_committed', len(live))
        for one, answer in zip(live, answers, strict=True):
            if answer.state == _State.RUNNING:
                answer.state = self._holder_state(one.request.key)
            one.session.outbox.put(pb.ControlItem(claim=answer))

    def _holder_state(self, key: str) -> 'pb.ClaimAnswer.State':
        """Tell a claim that runs from one whose holder is gone."""
        holder = self._node.machine.claims.holder(key)
        router, _, rest = holder.partition('/')
        incarnation, _, _ = rest.partition('/')
        if self._fleet.is_alive(router, incarnation):
            return _State.RUNNING
        return _State.UNKNOWN

    def _fresh_s(self) -> float:
        """How old a router's load may be to count."""
        return _FRESH_REPORTS * self._timing().report_ms / 1000 + _TICK_S

    def _timing(self) -> model.Timing:
        """Return periods and leases, without reading the whole bundle."""
        accepted = self._node.machine.accepted
        if self._timing_of[0] != accepted.version:
            found = bundle_entries.timing(accepted.entries)
            self._timing_of = (accepted.version, found)
        return self._timing_of[1]

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
