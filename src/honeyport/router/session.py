"""A router's stream to the leading control replica.

One task holds the stream: it finds the leader, reads what comes, and ends
when the stream does. Another one writes a report every period, and at
once when something changed that the fleet waits for.
"""

import asyncio
import contextlib
import itertools
import typing
import uuid

import attrs
import grpc

from honeyport import errors
from honeyport.policy import addresses
from honeyport.policy import contacts
from honeyport.router import fleetstate
from honeyport.router import leader_search
from honeyport.router import suspects
from honeyport.settings import roles
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc
from honeyport.wire import listing
from honeyport.wire import outbox

_PAUSE_S = 0.1
_ATTACH_S = 0.5
_SILENCE = 0.5  # of a lease, after which a stream is given up
_KEPT_REPORTS = 100  # without an answer, before they are forgotten
_SOONEST_S = 0.02  # between two reports, however much changes

Fill = typing.Callable[[pb.Report], None]
OnView = typing.Callable[[bool], None]
OnNews = typing.Callable[[], None]


@attrs.define
class _Pending:
    request: pb.ClaimRequest
    future: asyncio.Future[pb.ClaimAnswer]


class Session:
    """The stream, whichever replica it leads to.

    :param fill: adds loads to a report
    :param on_view: called after a view was applied, with whether it
        follows the one before without a gap; ``None`` for a router that
        stewards nothing, and is told of no view
    :param on_news: called after each message was taken in
    :param held: the requests that are held back
    """

    def __init__(
        self,
        settings: roles.Router,
        state: fleetstate.FleetState,
        fill: Fill,
        on_view: OnView | None,
        on_news: OnNews,
        held: suspects.SuspectTracker,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._state = state
        self._fill = fill
        self._on_view = on_view
        self._on_news = on_news
        self._suspects = held
        self._suspects.set_sender(self._put)
        self._metrics = counters
        self._incarnation = uuid.uuid4().hex[:12]
        self._outbox: outbox.Outbox[pb.RouterItem] | None = None
        self._contacts = contacts.Contacts(settings.control, settings.replica)
        self._numbers = itertools.count(1)
        self._sent: dict[int, float] = {}
        self._reported: dict[int, pb.Report] = {}
        self._stamp = 0  # of the leader's latest answer
        self._news = asyncio.Event()
        self._leaving = False
        self._claim_ids = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._gap = True
        self._attached_to = ''
        self._search = leader_search.LeaderSearch(counters)
        self._start_over = False  # our configuration led nowhere

    @property
    def incarnation(self) -> str:
        """Tells this run of the process from any other."""
        return self._incarnation

    @property
    def attached(self) -> bool:
        """Whether there is a stream to a leader."""
        return self._outbox is not None

    @property
    def leader(self) -> str:
        """The address that the stream leads to, or ``''``."""
        return self._attached_to if self.attached else ''

    def set_control_addresses(self, control: tuple[str, ...]) -> None:
        """Look for the leader at other addresses, too; the stream stays."""
        self._contacts.set_configured(control)

    def handle_introduction(self, introduction: pb.Redirect) -> None:
        """Take it that a leader called; it is asked next, if we have none."""
        logs.emit(events.INTRODUCED, leader=introduction.leader)
        if not self.attached:
            self._contacts.add_hint(introduction.leader, introduction.replicas)

    def control_location(self) -> pb.Redirect:
        """Return where control is, for an instance that asks us.

        A leader that has fallen silent is not named: whoever asks would lose
        a try on it.
        """
        is_lost = addresses.is_isolated(self._state.control_silence_s)
        return pb.Redirect(
            leader='' if is_lost else self.leader,
            replicas=self._contacts.replicas,
        )

    def report_soon(self) -> None:
        """Send the next report at once."""
        self._news.set()

    def announce_leaving(self) -> None:
        """Say in all further reports that this router is leaving."""
        self._leaving = True
        self.report_soon()

    async def claim(self, request: pb.ClaimRequest) -> pb.ClaimAnswer:
        """Have a claim request committed; sent again on a new stream."""
        request.id = next(self._claim_ids)
        future = asyncio.get_running_loop().create_future()
        self._pending[request.id] = _Pending(request, future)
        if self._outbox is not None:
            self._outbox.put(pb.RouterItem(claim=request))
        try:
            return await future
        finally:
            self._pending.pop(request.id, None)

    async def run(self) -> None:
        """Keep a stream to the leader until cancelled."""
        while True:
            address = self._contacts.next_address()
            try:
                reason = await self._attach(address)
            except grpc.aio.AioRpcError as error:
                reason = error.code().name.lower()
            except (errors.ConfigUnusable, errors.ListUnusable) as error:
                logs.emit(
                    events.CONFIG_UNUSABLE,
                    code=error.code,
                    detail=error.detail,
                )
                self._start_over = True
                reason = error.code
            self._search.record_ended(address, reason)
            if not self._contacts.has_leader_hint:
                await asyncio.sleep(_PAUSE_S)

    async def _attach(self, address: str) -> str:
        """Open a stream and read it to its end; return why it ended."""
        channel = channels.connect(address)
        box: outbox.Outbox[pb.RouterItem] = outbox.Outbox()
        box.put(pb.RouterItem(hello=self._hello()))
        reporter = None
        call = rpc.SessionStub(channel).Attach(self._batches(box))
        try:
            first = await asyncio.wait_for(call.read(), _ATTACH_S)
            if first is grpc.aio.EOF:
                return leader_search.ENDED
            if self._redirected(first):
                if self._contacts.has_leader_hint:
                    return leader_search.REDIRECTED
                return leader_search.NO_LEADER
            self._begin(box)
            self._attached_to = address
            self._search.record_opened(address)
            reporter = asyncio.create_task(self._report(box))
            self._take(first)
            while (batch := await self._next(call)) is not grpc.aio.EOF:
                if self._redirected(batch):
                    return leader_search.REDIRECTED
                self._take(batch)
            return leader_search.ENDED
        except TimeoutError:
            return leader_search.SILENT  # frozen, or cut off
        finally:
            call.cancel()
            if reporter is not None:
                self._outbox = None
                reporter.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await reporter
            box.close()
            await channel.close()

    async def _next(self, call: grpc.aio.StreamStreamCall) -> pb.ControlBatch:
        """Return the next message; every report is answered soon.

        :raises TimeoutError: after half a lease of silence, so that there
            is time to find the next leader before the lease lapses
        """
        silence_s = self._state.timing.lease_ms / 1000 * _SILENCE
        return await asyncio.wait_for(call.read(), silence_s)

    def _begin(self, box: outbox.Outbox[pb.RouterItem]) -> None:
        self._outbox = box
        self._sent.clear()
        self._reported.clear()
        self._state.apply_own_report(pb.Report())
        self._stamp = 0
        self._gap = True
        for item in self._suspects.initial_items():
            box.put(item)
        for pending in list(self._pending.values()):
            box.put(pb.RouterItem(claim=pending.request))

    def _put(self, item: pb.RouterItem) -> bool:
        """Send an item if there is a stream; return whether there is."""
        if self._outbox is None:
            return False
        self._outbox.put(item)
        return True

    def _redirected(self, batch: pb.ControlBatch) -> bool:
        for item in batch.items:
            if item.HasField('redirect'):
                redirect = item.redirect
                self._contacts.add_hint(redirect.leader, redirect.replicas)
                return True
        return False

    def _take(self, batch: pb.ControlBatch) -> None:
        self._metrics.count(
            'control_bytes', batch.ByteSize(), direction='received'
        )
        for item in batch.items:
            kind = item.WhichOneof('item')
            if kind == 'answer':
                self._take_answer(item.answer)
            elif kind == 'config':
                if self._state.apply_config(item.config):
                    self.report_soon()
            elif kind == 'view':
                self._take_view(item.view)
            elif kind == 'loads':
                self._state.apply_loads(item.loads)
            elif kind == 'evacuations':
                self._state.apply_evacuations(item.evacuations)
            elif kind == 'presence':
                self._state.apply_presence(item.presence)
            elif kind == 'replicas':
                self._contacts.set_replicas(item.replicas.addresses)
            elif kind == 'instances':
                found = listing.apply(self._state.instances, item.instances)
                self._state.apply_instances(found)
            elif kind == 'claim':
                self._take_claim(item.claim)
            elif kind == 'suspects':
                self._suspects.apply(item.suspects)
            elif kind == 'permit':
                self._suspects.resolve_permit(item.permit)
        self._on_news()

    def _take_answer(self, answer: pb.ReportAnswer) -> None:
        if answer.counted in self._reported:
            self._state.apply_own_report(self._reported[answer.counted])
            for number in [n for n in self._reported if n < answer.counted]:
                del self._reported[number]
        sent = self._sent.pop(answer.number, None)
        if sent is not None:
            self._stamp = answer.stamp
            self._state.renew_lease(sent, answer.lease_ms)

    def _take_view(self, view: pb.View) -> None:
        """Apply a view and acknowledge it at once.

        The first view of a stream follows the last one known only if it
        is the same: views in between may have passed us by.
        """
        followed = not self._gap or view.number == self._state.view
        self._gap = False
        is_new = self._state.apply_view(view) or not followed
        if is_new and self._on_view is not None:
            self._on_view(followed)
        self.report_soon()

    def _take_claim(self, answer: pb.ClaimAnswer) -> None:
        pending = self._pending.get(answer.id)
        if pending is None or pending.future.done():
            return
        if answer.state == pb.ClaimAnswer.FAILED:
            return  # sent again on the next stream
        pending.future.set_result(answer)

    async def _report(self, box: outbox.Outbox[pb.RouterItem]) -> None:
        while True:
            number = next(self._numbers)
            report = pb.Report(
                number=number,
                config_version=self._state.version,
                view=self._state.view,
                leaving=self._leaving,
                stamp=self._stamp,
            )
            self._fill(report)
            self._sent[number] = asyncio.get_running_loop().time()
            self._reported[number] = report
            for kept in (self._sent, self._reported):
                kept.pop(number - _KEPT_REPORTS, None)
            box.put(pb.RouterItem(report=report))
            await asyncio.sleep(_SOONEST_S)
            period = self._state.timing.report_ms / 1000 - _SOONEST_S
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._news.wait(), max(period, 0.0))
            self._news.clear()

    async def _batches(
        self, box: outbox.Outbox[pb.RouterItem]
    ) -> typing.AsyncIterator[pb.RouterBatch]:
        while items := await box.take():
            batch = pb.RouterBatch(items=items)
            self._metrics.count(
                'control_bytes', batch.ByteSize(), direction='sent'
            )
            yield batch

    def _hello(self) -> pb.Hello:
        hello = pb.Hello(
            router=self._settings.name,
            incarnation=self._incarnation,
            domain=self._settings.domain,
            address=self._settings.listen,
            peer_address=self._settings.peer_listen,
            view=self._state.view,
            replica=self._settings.replica,
            suspects=self._suspects.count,
            no_view=self._on_view is None,
        )
        # Without them, it asks for the whole of both.
        if not self._start_over:
            listed = self._state.instances
            hello.config_version = self._state.version
            hello.config_digest = self._state.digest
            hello.instances = listed.number
            if listed.number:
                hello.instances_digests = listing.digests(listed.instances)
        self._start_over = False
        return hello
