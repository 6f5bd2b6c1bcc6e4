"""A router's stream to the leading control replica.

One task finds the leader, opens the stream and applies what it receives.
Another task sends a load report every period, or earlier on request.
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

_RECONNECT_DELAY_S = 0.1
_FIRST_MESSAGE_TIMEOUT_S = 0.5
_SILENCE_TIMEOUT_LEASES = 0.5  # without a message, in lease periods
_MAX_UNANSWERED_REPORTS = 100
_MIN_REPORT_INTERVAL_S = 0.02

AddLoads = typing.Callable[[pb.Report], None]
OnView = typing.Callable[[bool], None]
OnMessage = typing.Callable[[], None]


@attrs.define
class _PendingClaim:
    request: pb.ClaimRequest
    future: asyncio.Future[pb.ClaimAnswer]


class Session:
    """The stream to the leader; it is opened again whenever it ends.

    :param add_loads: adds loads to a report
    :param on_view: called after a view was applied, with whether it directly
        follows the view before; ``None`` for a router that owns no backend
        servers and receives no views
    :param on_message: called after each message was applied
    :param suspect_tracker: sends reports of crashes, and requests permits
    """

    def __init__(
        self,
        settings: roles.Router,
        state: fleetstate.FleetState,
        add_loads: AddLoads,
        on_view: OnView | None,
        on_message: OnMessage,
        suspect_tracker: suspects.SuspectTracker,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._state = state
        self._add_loads = add_loads
        self._on_view = on_view
        self._on_message = on_message
        self._suspects = suspect_tracker
        self._suspects.set_sender(self._send_if_attached)
        self._metrics = counters
        self._incarnation = uuid.uuid4().hex[:12]
        self._outbox: outbox.Outbox[pb.RouterItem] | None = None
        self._contacts = contacts.Contacts(settings.control, settings.replica)
        self._report_numbers = itertools.count(1)
        self._sent_at: dict[int, float] = {}
        self._unanswered_reports: dict[int, pb.Report] = {}
        self._leader_timestamp = 0  # of its latest answer, by its clock
        self._report_requested = asyncio.Event()
        self._is_leaving = False
        self._claim_ids = itertools.count(1)
        self._pending_claims: dict[int, _PendingClaim] = {}
        self._has_view_gap = True
        self._leader_address = ''
        self._read_timeout: asyncio.Timeout | None = None
        self._search = leader_search.LeaderSearch(counters)
        self._needs_full_state = False  # an update did not match

    @property
    def incarnation(self) -> str:
        """A random identifier of this run of the process."""
        return self._incarnation

    @property
    def attached(self) -> bool:
        """Whether a stream to a leader is open."""
        return self._outbox is not None

    @property
    def leader(self) -> str:
        """The address of the leader that the stream goes to, or ``''``."""
        return self._leader_address if self.attached else ''

    @property
    def _is_leader_silent(self) -> bool:
        return addresses.is_isolated(self._state.control_silence_s)

    def set_control_addresses(self, control: tuple[str, ...]) -> None:
        """Set the configured addresses of control; keep an open stream."""
        self._contacts.set_configured(control)

    def handle_introduction(self, introduction: pb.Redirect) -> None:
        """Try a leader that introduced itself next.

        Ignored while the stream's leader answers.
        """
        logs.emit(events.INTRODUCED, leader=introduction.leader)
        if self.attached and not self._is_leader_silent:
            return
        self._contacts.add_hint(introduction.leader, introduction.replicas)
        timeout = self._read_timeout
        # A timeout that has just expired cannot be changed any more.
        if timeout is not None and not timeout.expired():
            timeout.reschedule(asyncio.get_running_loop().time())

    def control_location(self) -> pb.Redirect:
        """Return the addresses of control, for another router that asks.

        A leader that no longer answers is left out.
        """
        return pb.Redirect(
            leader='' if self._is_leader_silent else self.leader,
            replicas=self._contacts.replicas,
        )

    def report_soon(self) -> None:
        """Send the next report at once."""
        self._report_requested.set()

    def announce_leaving(self) -> None:
        """Report from now on that this router is leaving."""
        self._is_leaving = True
        self.report_soon()

    async def claim(self, request: pb.ClaimRequest) -> pb.ClaimAnswer:
        """Send a claim request until it is answered, over new streams, too."""
        request.id = next(self._claim_ids)
        future = asyncio.get_running_loop().create_future()
        self._pending_claims[request.id] = _PendingClaim(request, future)
        if self._outbox is not None:
            self._outbox.put(pb.RouterItem(claim=request))
        try:
            return await future
        finally:
            self._pending_claims.pop(request.id, None)

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
                self._needs_full_state = True
                reason = error.code
            self._search.record_ended(address, reason)
            if not self._contacts.has_leader_hint:
                await asyncio.sleep(_RECONNECT_DELAY_S)

    async def _attach(self, address: str) -> str:
        """Open a stream and read it to its end; return why it ended.

        :raises grpc.aio.AioRpcError: if the stream failed
        :raises errors.ConfigUnusable: if a configuration update did not match
        :raises errors.ListUnusable: if an update of a list did not match
        """
        channel = channels.connect(address)
        box: outbox.Outbox[pb.RouterItem] = outbox.Outbox()
        box.put(pb.RouterItem(hello=self._hello()))
        reporter = None
        call = rpc.SessionStub(channel).Attach(self._batches(box))
        try:
            async with asyncio.timeout(_FIRST_MESSAGE_TIMEOUT_S):
                first = await call.read()
            if first is grpc.aio.EOF:
                return leader_search.ENDED
            if self._handle_redirect(first):
                if self._contacts.has_leader_hint:
                    return leader_search.REDIRECTED
                return leader_search.NO_LEADER
            self._start_stream(box)
            self._leader_address = address
            self._search.record_opened(address)
            reporter = asyncio.create_task(self._send_reports(box))
            self._apply_batch(first)
            while (batch := await self._read_batch(call)) is not grpc.aio.EOF:
                if self._handle_redirect(batch):
                    return leader_search.REDIRECTED
                self._apply_batch(batch)
            return leader_search.ENDED
        except TimeoutError:
            return leader_search.SILENT
        finally:
            call.cancel()
            if reporter is not None:
                self._outbox = None
                reporter.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await reporter
            box.close()
            await channel.close()

    async def _read_batch(
        self, call: grpc.aio.StreamStreamCall
    ) -> pb.ControlBatch:
        """Return the next message.

        :raises TimeoutError: after half a lease period without a message,
            which leaves time to find a new leader before the lease lapses, or
            if another leader introduced itself meanwhile
        """
        silence_s = (
            self._state.timing.lease_ms / 1000 * _SILENCE_TIMEOUT_LEASES
        )
        try:
            async with asyncio.timeout(silence_s) as self._read_timeout:
                return await call.read()
        finally:
            self._read_timeout = None

    def _start_stream(self, box: outbox.Outbox[pb.RouterItem]) -> None:
        self._outbox = box
        self._sent_at.clear()
        self._unanswered_reports.clear()
        self._state.apply_own_report(pb.Report())
        self._leader_timestamp = 0
        self._has_view_gap = True
        for item in self._suspects.initial_items():
            box.put(item)
        for pending in list(self._pending_claims.values()):
            box.put(pb.RouterItem(claim=pending.request))

    def _send_if_attached(self, item: pb.RouterItem) -> bool:
        """Send an item if a stream is open; return whether one is."""
        if self._outbox is None:
            return False
        self._outbox.put(item)
        return True

    def _handle_redirect(self, batch: pb.ControlBatch) -> bool:
        for item in batch.items:
            if item.HasField('redirect'):
                redirect = item.redirect
                self._contacts.add_hint(redirect.leader, redirect.replicas)
                return True
        return False

    def _apply_batch(self, batch: pb.ControlBatch) -> None:
        self._metrics.count(
            'control_bytes', batch.ByteSize(), direction='received'
        )
        for item in batch.items:
            kind = item.WhichOneof('item')
            if kind == 'answer':
                self._apply_report_answer(item.answer)
            elif kind == 'config':
                if self._state.apply_config(item.config):
                    self.report_soon()
            elif kind == 'view':
                self._apply_view(item.view)
            elif kind == 'loads':
                self._state.apply_loads(item.loads)
            elif kind == 'evacuations':
                if self._state.apply_evacuations(item.evacuations):
                    self.report_soon()
            elif kind == 'presence':
                self._state.apply_presence(item.presence)
            elif kind == 'replicas':
                self._contacts.set_replicas(item.replicas.addresses)
            elif kind == 'instances':
                instance_list = listing.apply(
                    self._state.instances, item.instances
                )
                self._state.apply_instances(instance_list)
            elif kind == 'claim':
                self._resolve_claim(item.claim)
            elif kind == 'suspects':
                self._suspects.apply(item.suspects)
            elif kind == 'permit':
                self._suspects.resolve_permit(item.permit)
        self._on_message()

    def _apply_report_answer(self, answer: pb.ReportAnswer) -> None:
        if answer.counted in self._unanswered_reports:
            self._state.apply_own_report(
                self._unanswered_reports[answer.counted]
            )
            for number in [
                unanswered
                for unanswered in self._unanswered_reports
                if unanswered < answer.counted
            ]:
                del self._unanswered_reports[number]
        sent = self._sent_at.pop(answer.number, None)
        if sent is not None:
            self._leader_timestamp = answer.stamp
            self._state.renew_lease(sent, answer.lease_ms)

    def _apply_view(self, view: pb.View) -> None:
        """Apply a view and acknowledge it with an immediate report.

        The first view of a stream counts as consecutive only if it is the
        last one known: others may have been missed in between.
        """
        is_consecutive = (
            not self._has_view_gap or view.number == self._state.view
        )
        self._has_view_gap = False
        is_new = self._state.apply_view(view) or not is_consecutive
        if is_new and self._on_view is not None:
            self._on_view(is_consecutive)
        self.report_soon()

    def _resolve_claim(self, answer: pb.ClaimAnswer) -> None:
        pending = self._pending_claims.get(answer.id)
        if pending is None or pending.future.done():
            return
        if answer.state == pb.ClaimAnswer.FAILED:
            return  # it is sent again on the next stream
        pending.future.set_result(answer)

    async def _send_reports(self, box: outbox.Outbox[pb.RouterItem]) -> None:
        while True:
            number = next(self._report_numbers)
            report = pb.Report(
                number=number,
                config_version=self._state.version,
                view=self._state.view,
                leaving=self._is_leaving,
                stamp=self._leader_timestamp,
                evacuated=sorted(self._state.evacuated),
            )
            self._add_loads(report)
            self._sent_at[number] = asyncio.get_running_loop().time()
            self._unanswered_reports[number] = report
            for reports_by_number in (self._sent_at, self._unanswered_reports):
                reports_by_number.pop(number - _MAX_UNANSWERED_REPORTS, None)
            box.put(pb.RouterItem(report=report))
            await asyncio.sleep(_MIN_REPORT_INTERVAL_S)
            remaining_s = (
                self._state.timing.report_ms / 1000 - _MIN_REPORT_INTERVAL_S
            )
            # asyncio.wait_for of Python 3.11 swallows a cancellation that
            # arrives together with the request.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(remaining_s, 0.0)):
                    await self._report_requested.wait()
            self._report_requested.clear()

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
        # Without these fields, the leader sends full snapshots of both.
        if not self._needs_full_state:
            listed = self._state.instances
            hello.config_version = self._state.version
            hello.config_digest = self._state.digest
            hello.instances = listed.number
            if listed.number:
                hello.instances_digests = listing.digests(listed.instances)
        self._needs_full_state = False
        return hello
