"""Reader of the platform's list of backend server instances.

Only the leader reads the list; the routers' streams carry every change. How
the list is read is an extension point, see :data:`Source`.

Every instance has a place (:mod:`honeyport.policy.places`). Places are part
of the replicated state and survive a restart of all processes. They are sent
to the routers before they are committed, so that disk latency does not delay
the message that an instance is leaving.

Software versions are on record, too (:mod:`honeyport.policy.version_records`).
Instances of a new version are sent to the routers once it is committed, since
they may begin streams; nothing else waits for that.
"""

import asyncio
import collections.abc
import contextlib

from honeyport.control import instance_lists
from honeyport.control import machine
from honeyport.control import replica
from honeyport import errors
from honeyport.policy import cold
from honeyport.policy import places
from honeyport.policy import readings
from honeyport.policy import version_records
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

# Pause between two readings; shorter than the notice that a platform gives
# before an instance stops (3 s at least): a third of it.
READ_INTERVAL_S = 0.9
# Upper limit of a pause that the list's server requests: without the list,
# requests still go to instances that are leaving.
_MAX_RETRY_AFTER_S = 3.0
# A list number is the leader's term, shifted left, plus a counter, so that
# numbers ascend from one leader to the next.
_TERM_SHIFT_BITS = 24
_PERSIST_INTERVAL_S = 0.2  # between checks for uncommitted places
# Two estimates of the end of a cold period that differ by less are equal: the
# platform's data may be that old.
_COLD_END_TOLERANCE_S = 1.0

# Maximum number of refused entries whose reasons are in one log line.
_MAX_LOGGED_REASONS = 5

Source = collections.abc.Callable[
    [], collections.abc.Awaitable[readings.Reading]
]


class Catalog:
    """The latest list of instances, kept in the leader's memory.

    :param source: reads the platform's list
    :param counters: the process's metrics
    """

    def __init__(
        self, node: replica.Replica, source: Source, counters: metrics.Metrics
    ) -> None:
        self._node = node
        self._source = source
        self._metrics = counters
        self._refusals: tuple[readings.RefusedEntry, ...] = ()
        self._assigner: places.Assigner | None = None
        self._has_unsaved_places = False
        self._lists = instance_lists.InstanceLists()
        self._instances: list[pb.Instance] = []
        self._latest: list[pb.Instance] = []
        self._list_number = 0
        self._cold_periods = cold.ColdPeriods()
        self._counter = 0
        self._is_readable = True
        self._recorder = version_records.VersionRecorder()
        self._published_versions: version_records.Records = {}
        # What is on record whichever of the changes that are not known to be
        # committed is, by service.
        self._uncertain_versions: dict[str, frozenset[str]] = {}
        self._recording: asyncio.Task[None] | None = None
        self._has_recorded = asyncio.Event()

    @property
    def lists(self) -> instance_lists.InstanceLists:
        """The lists of the current term."""
        return self._lists

    @property
    def latest(self) -> list[pb.Instance]:
        """The latest list; empty before the first one."""
        return self._latest

    @property
    def number(self) -> int:
        """The number of the latest list; 0 before the first one."""
        return self._list_number

    async def run(self) -> None:
        """Read the list while this replica leads, until cancelled."""
        while True:
            if self._node.leads:
                self._has_recorded.clear()
                retry_after_s = await self._read()
                await self._pause(retry_after_s)
            else:
                self._lists.clear()
                self._instances = []
                self._latest = []
                self._list_number = 0
                self._cold_periods = cold.ColdPeriods()
                self._assigner = None
                # Uncertain versions stay so: a commit may be under way.
                self._recorder = version_records.VersionRecorder()
                await asyncio.sleep(0.1)

    async def _pause(self, retry_after_s: float) -> None:
        """Wait for the next reading: until versions are recorded, at most."""
        if retry_after_s:
            await asyncio.sleep(max(READ_INTERVAL_S, retry_after_s))
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READ_INTERVAL_S):
                await self._has_recorded.wait()

    async def persist_places(self) -> None:
        """Commit changed places while this replica leads, until cancelled."""
        while True:
            await asyncio.sleep(_PERSIST_INTERVAL_S)
            if not self._has_unsaved_places or self._assigner is None:
                continue
            self._has_unsaved_places = False
            change = self._assigner.diff_from(self._node.machine.places)
            if not change.is_empty:
                await self._commit_places(change)

    async def _commit_places(self, change: places.Change) -> None:
        """Commit a change of places; retry a failed one in the next round."""
        try:
            await self._node.propose(machine.place_change(change))
        except errors.HoneyportError as error:
            self._has_unsaved_places = True
            logs.emit(
                events.PLACES_UNSAVED, code=error.code, detail=error.detail
            )
            return
        logs.emit(
            events.PLACES_CHANGED,
            put={name: place.holder for name, place in change.updated.items()},
            removed=change.removed,
        )

    async def _read(self) -> float:
        """Read the list once; return the pause that its server requests.

        :returns: seconds; 0 if it does not request any
        """
        try:
            reading = await self._source()
        except errors.ListUnreadable as error:
            self._log_readability(error.detail)
            return min(error.retry_after or 0.0, _MAX_RETRY_AFTER_S)
        self._update(reading)
        return min(reading.retry_after_s, _MAX_RETRY_AFTER_S)

    def _update(self, reading: readings.Reading) -> None:
        """Publish a new list if the reading differs from the latest one."""
        self._log_readability(reading.missing_reason)
        self._log_refusals(tuple(reading.refused_entries))
        merged = readings.merge(self._instances, reading)
        instances = self._withhold_unrecorded(merged)
        if not self._list_number and len(instances) < len(merged):
            return  # An incomplete list would make routers ready.
        self._assign_places(instances)
        has_new_cold_period = self._extract_cold_periods(instances)
        recorded = self._node.machine.versions
        is_same = (
            self._instances == instances
            and not has_new_cold_period
            and self._published_versions == recorded
        )
        if self._list_number and is_same:
            return
        self._instances = instances
        self._published_versions = recorded
        self._has_unsaved_places = True
        self._counter += 1
        self._list_number = (
            self._node.term << _TERM_SHIFT_BITS
        ) + self._counter
        self._latest = [
            self._with_cold_period(instance) for instance in instances
        ]
        self._lists.replace(
            self._list_number,
            self._latest,
            machine.version_messages(recorded),
        )
        logs.emit(
            events.LIST_CHANGED,
            list_number=self._list_number,
            instances=len(instances),
            leaving=[
                instance.id for instance in instances if instance.leaving
            ],
        )

    def _withhold_unrecorded(
        self, instances: list[pb.Instance]
    ) -> list[pb.Instance]:
        """Return the instances whose versions are on record.

        Starts to record those of the others, and to remove what is over.
        """
        listed: dict[str, set[str]] = {}
        for instance in instances:
            listed.setdefault(instance.service, set()).add(instance.version)
        recorded = self._node.machine.versions
        planned = self._recorder.plan(
            recorded, listed, asyncio.get_running_loop().time()
        )
        changes = {
            service: planned.get(service, frozenset())
            for service in planned.keys() | self._uncertain_versions.keys()
            if planned.get(service) != recorded.get(service)
            or service in self._uncertain_versions
        }
        if changes and (self._recording is None or self._recording.done()):
            for service, versions in changes.items():
                pending = self._uncertain_versions.get(service, versions)
                self._uncertain_versions[service] = pending & versions
            self._recording = asyncio.create_task(
                self._commit_versions(changes)
            )
        return [
            instance for instance in instances if self._is_recorded(instance)
        ]

    def _is_recorded(self, instance: pb.Instance) -> bool:
        """Whether the record has a version, also after uncertain changes."""
        service, version = instance.service, instance.version
        recorded = self._node.machine.versions.get(service, frozenset())
        pending = self._uncertain_versions.get(service, recorded)
        return version in recorded and version in pending

    async def _commit_versions(
        self, changes: dict[str, frozenset[str]]
    ) -> None:
        """Commit changed records; a later reading retries a failed one."""
        change = pb.VersionChange(put=machine.version_messages(changes))
        try:
            await self._node.propose(change)
        except errors.HoneyportError as error:
            logs.emit(
                events.VERSIONS_UNSAVED, code=error.code, detail=error.detail
            )
            return
        self._uncertain_versions = {}
        self._has_recorded.set()
        logs.emit(
            events.VERSIONS_RECORDED,
            versions={
                service: sorted(versions)
                for service, versions in changes.items()
            },
        )

    def _extract_cold_periods(self, instances: list[pb.Instance]) -> bool:
        """Move the ends of cold periods from the list to the schedule.

        The list has the remaining time, which decreases with every reading,
        so that two lists with it would never compare equal.

        :returns: whether a cold period is new
        """
        now = asyncio.get_running_loop().time()
        has_new_cold_period = False
        for instance in instances:
            left_s = instance.cold_ms / 1000
            instance.ClearField('cold_ms')
            if left_s and self._cold_periods.extend(
                instance.id, now + left_s, _COLD_END_TOLERANCE_S
            ):
                has_new_cold_period = True
        self._cold_periods.drop_expired(now - _COLD_END_TOLERANCE_S)
        return has_new_cold_period

    def _with_cold_period(self, instance: pb.Instance) -> pb.Instance:
        """Return an instance with the rest of its cold period, if any."""
        now = asyncio.get_running_loop().time()
        left_s = self._cold_periods.remaining_s(instance.id, now)
        if not left_s:
            return instance
        message = pb.Instance()
        message.CopyFrom(instance)
        message.cold_ms = int(left_s * 1000)
        return message

    def _log_readability(self, missing: str) -> None:
        """Log when the list, or a part of it, is lost or readable again."""
        if missing and self._is_readable:
            logs.emit(events.LIST_LOST, reason=missing)
        elif not missing and not self._is_readable:
            logs.emit(events.LIST_REGAINED)
        self._is_readable = not missing

    def _log_refusals(
        self, refusals: tuple[readings.RefusedEntry, ...]
    ) -> None:
        """Count the refused entries; log them when they change."""
        self._metrics.count('list_entries_refused', len(refusals))
        if refusals and refusals != self._refusals:
            logs.emit(
                events.LIST_ENTRIES_REFUSED,
                entries=len(refusals),
                reasons=[
                    f'{refusal.id}: {refusal.reason}'
                    for refusal in refusals[:_MAX_LOGGED_REASONS]
                ],
            )
        self._refusals = refusals

    def _assign_places(self, instances: list[pb.Instance]) -> None:
        """Assign each instance its place."""
        if self._assigner is None:
            self._assigner = places.Assigner(self._node.machine.places)
        observed = [
            places.ListedInstance(
                instance.id, instance.service, instance.leaving
            )
            for instance in instances
        ]
        now = asyncio.get_running_loop().time()
        assigned = self._assigner.assign(observed, now)
        for instance in instances:
            instance.place = assigned.get(instance.id, '')
