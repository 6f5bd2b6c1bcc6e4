"""The instances of backend servers, as the platform's list names them.

The leader alone reads the list, whatever the number of routers, and the
routers' streams carry every change. How a list is read is an extension
point: a source is an awaitable that returns all instances.

Every instance has a place (:mod:`honeyport.policy.places`). Places are part
of the replicated state, so they outlive a loss of all processes. The routers
get them at once and the log a moment later: a slow disk must not hold up the
word that an instance leaves.
"""

import asyncio
import collections.abc

from honeyport.control import instance_lists
from honeyport.control import machine
from honeyport.control import replica
from honeyport import errors
from honeyport.policy import cold
from honeyport.policy import places
from honeyport.policy import readings
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

# A third of the shortest bound that the platforms set between the first
# sign that an instance leaves and its last request (3 s).
READ_INTERVAL_S = 0.9
# The longest time, in seconds, for which the list is left alone where who
# serves it asks for that: requests go on to instances that leave meanwhile.
_LONGEST_PAUSE_S = 3.0
_TERM_SHIFT = 24  # as for views: ordered across leaders
# Between two looks at whether places have changed, in seconds: far below the
# time between two changes of the list, and each look is a comparison.
_RECORD_S = 0.2
# Two readings of when an instance ceases to be cold that differ by less are
# the same one, in seconds: what the platform says may be so old.
_SAME_SPELL_S = 1.0

# Reasons for entries that are left out, in one log line.
_MOST_REASONS = 5

Source = collections.abc.Callable[
    [], collections.abc.Awaitable[readings.Reading]
]


class Catalog:
    """The latest list; soft state of the leader.

    :param source: reads the platform's list
    """

    def __init__(
        self, node: replica.Replica, source: Source, counters: metrics.Metrics
    ) -> None:
        self._node = node
        self._source = source
        self._metrics = counters
        self._refusals: tuple[readings.Refusal, ...] = ()
        self._assigner: places.Assigner | None = None
        self._is_unsaved = False
        self._lists = instance_lists.InstanceLists()
        self._known: list[pb.Instance] = []
        self._latest: list[pb.Instance] = []
        self._number = 0
        self._spells = cold.Spells()
        self._counter = 0
        self._readable = True

    @property
    def lists(self) -> instance_lists.InstanceLists:
        """The lists of this leadership."""
        return self._lists

    @property
    def latest(self) -> list[pb.Instance]:
        """The latest list; empty before the first one."""
        return self._latest

    @property
    def number(self) -> int:
        """The number of the latest list; 0 before the first one."""
        return self._number

    async def run(self) -> None:
        """Read the list while this replica leads, until cancelled."""
        while True:
            if self._node.leads:
                again_s = await self._read()
                await asyncio.sleep(max(READ_INTERVAL_S, again_s))
            else:
                self._lists.clear()
                self._known = []
                self._latest = []
                self._number = 0
                self._spells = cold.Spells()
                self._assigner = None
                await asyncio.sleep(0.1)

    async def persist_places(self) -> None:
        """Write changed places to the log while this replica leads."""
        while True:
            await asyncio.sleep(_RECORD_S)
            if not self._is_unsaved or self._assigner is None:
                continue
            self._is_unsaved = False
            change = self._assigner.diff_from(self._node.machine.places)
            if not change.is_empty:
                await self._propose(change)

    async def _propose(self, change: places.Change) -> None:
        """Commit a change of places; one that fails comes again."""
        try:
            await self._node.propose(machine.place_change(change))
        except errors.HoneyportError as error:
            self._is_unsaved = True
            logs.emit(
                events.PLACES_UNSAVED, code=error.code, detail=error.detail
            )
            return
        logs.emit(
            events.PLACES_CHANGED,
            put={place: one.holder for place, one in change.put.items()},
            removed=change.removed,
        )

    async def _read(self) -> float:
        """Read the list once; return when it may be read again, in seconds."""
        try:
            reading = await self._source()
        except errors.ListUnreadable as error:
            self._note_readable(error.detail)
            return min(error.retry_after or 0.0, _LONGEST_PAUSE_S)
        self._take(reading)
        return min(reading.again_s, _LONGEST_PAUSE_S)

    def _take(self, reading: readings.Reading) -> None:
        """Make what was read known, if anything is new."""
        self._note_readable(reading.missing)
        self._note_refusals(tuple(reading.refusals))
        found = readings.merge(self._known, reading)
        self._place(found)
        has_turned_cold = self._note_cold(found)
        is_same = self._known == found and not has_turned_cold
        if self._number and is_same:
            return
        self._known = found
        self._is_unsaved = True
        self._counter += 1
        self._number = (self._node.term << _TERM_SHIFT) + self._counter
        self._latest = [self._with_spell(one) for one in found]
        self._lists.replace(self._number, self._latest)
        logs.emit(
            events.LIST_CHANGED,
            list_number=self._number,
            instances=len(found),
            leaving=[one.id for one in found if one.leaving],
        )

    def _note_cold(self, found: list[pb.Instance]) -> bool:
        """Take off when instances cease to be cold; return whether any is new.

        The list says how much longer that takes, which falls with every
        reading; compared as it is, each list would differ from the last.
        """
        now = asyncio.get_running_loop().time()
        has_turned_cold = False
        for one in found:
            left_s = one.cold_ms / 1000
            one.ClearField('cold_ms')
            if left_s and self._spells.note(
                one.id, now + left_s, _SAME_SPELL_S
            ):
                has_turned_cold = True
        self._spells.forget_over(now - _SAME_SPELL_S)
        return has_turned_cold

    def _with_spell(self, one: pb.Instance) -> pb.Instance:
        """Return an instance with how much longer it is cold, if it is."""
        now = asyncio.get_running_loop().time()
        left_s = self._spells.left_s(one.id, now)
        if not left_s:
            return one
        told = pb.Instance()
        told.CopyFrom(one)
        told.cold_ms = int(left_s * 1000)
        return told

    def _note_readable(self, missing: str) -> None:
        """Log when the list, or a part of it, is lost and regained."""
        if missing and self._readable:
            logs.emit(events.LIST_LOST, reason=missing)
        elif not missing and not self._readable:
            logs.emit(events.LIST_REGAINED)
        self._readable = not missing

    def _note_refusals(self, refusals: tuple[readings.Refusal, ...]) -> None:
        """Count the entries that are left out; log them when they change."""
        self._metrics.count('list_entries_refused', len(refusals))
        if refusals and refusals != self._refusals:
            logs.emit(
                events.LIST_ENTRIES_REFUSED,
                entries=len(refusals),
                reasons=[
                    f'{one.id}: {one.reason}'
                    for one in refusals[:_MOST_REASONS]
                ],
            )
        self._refusals = refusals

    def _place(self, found: list[pb.Instance]) -> None:
        """Give each instance its place."""
        if self._assigner is None:
            self._assigner = places.Assigner(self._node.machine.places)
        seen = [
            places.ListedInstance(one.id, one.service, one.leaving)
            for one in found
        ]
        now = asyncio.get_running_loop().time()
        given = self._assigner.assign(seen, now)
        for one in found:
            one.place = given.get(one.id, '')
