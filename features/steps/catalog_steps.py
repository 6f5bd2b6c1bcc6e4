"""Steps about the catalog of instances, on a virtual clock."""

import asyncio

import behave

from features.support import simulation
from honeyport.control import catalog
from honeyport.control import machine
from honeyport import errors
from honeyport.policy import readings
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

# Longer than a change of places waits, shorter than between two readings.
_RECORDED_S = 0.5


class _Leader:
    """A control replica that leads, as far as the catalog sees it."""

    leads = True

    def __init__(self, term: int = 1) -> None:
        self.term = term
        self.machine = machine.Machine()
        self.is_sound = True  # whether its log takes entries

    async def propose(self, command):
        """Commit a change of places at once."""
        if not self.is_sound:
            raise errors.CommitUnknown('no quorum')
        return self.machine.apply(pb.Entry(places=command))


class Setting:
    """A catalog and the list that it reads."""

    def __init__(self) -> None:
        self.loop = simulation.VirtualLoop()
        self.listed: list[pb.Instance] | None = []
        self.first_number = 0
        self.missing = ''
        self.again_s: float | None = None
        self.reads = 0
        self.refusals: list[readings.RefusedEntry] = []
        self.counters = metrics.Metrics()
        self.node = _Leader()
        self.lead()

    def lead(self) -> None:
        """Begin a leadership."""
        self.catalog = catalog.Catalog(self.node, self._read, self.counters)

    def start_anew(self) -> None:
        """Begin with nothing but what a snapshot keeps."""
        kept = pb.State.FromString(
            self.node.machine.save().SerializeToString()
        )
        self.node = _Leader(term=self.node.term + 1)
        self.node.machine.restore(kept)
        self.lead()

    def read(self, names: str, leaving: str = '') -> None:
        """Read a list of instances once."""
        self.listed = [
            pb.Instance(id=name, service='llm', leaving=name == leaving)
            for name in names.split(', ')
        ]
        self.look()

    def read_cold(self, names: str, name: str, cold_ms: int) -> None:
        """Read a list that calls one of its instances cold."""
        self.listed = [
            pb.Instance(
                id=one, service='llm', cold_ms=cold_ms if one == name else 0
            )
            for one in names.split(', ')
        ]
        self.first_number = self.first_number or self.catalog.number
        self.look()

    def look(self) -> None:
        """Read the list as it is, and let places be recorded."""
        self.loop.run_until_complete(self._look())

    def count_reads(self, seconds: float) -> int:
        """Return how often the list is read in some seconds."""
        self.reads = 0
        self.loop.run_until_complete(self._read_for(seconds))
        return self.reads

    async def _read_for(self, seconds: float) -> None:
        reading = asyncio.create_task(self.catalog.run())
        await asyncio.sleep(seconds)
        reading.cancel()

    async def _look(self) -> None:
        reading = asyncio.create_task(self.catalog.run())
        recording = asyncio.create_task(self.catalog.persist_places())
        await asyncio.sleep(_RECORDED_S)
        for task in (reading, recording):
            task.cancel()
        await asyncio.wait([reading, recording])

    async def _read(self) -> readings.Reading:
        self.reads += 1
        if self.listed is None:
            raise errors.ListUnreadable('no answer', retry_after=self.again_s)
        return readings.Reading(
            instances=self.listed,
            refusals=self.refusals,
            missing=self.missing,
        )

    def place(self, name: str) -> str:
        """Return the place of an instance."""
        found = {one.id: one.place for one in self.catalog.latest}
        return found[name]


@behave.given('a catalog that has read the instances {names}')
def step_catalog(context, names):
    context.catalog = Setting()
    context.catalog.read(names)


@behave.when('a part that names {names} is all that it can read')
def step_read_part(context, names):
    context.catalog.missing = 'no answer'
    context.catalog.read(names)
    context.catalog.missing = ''


@behave.when(
    'a part with a spoilt entry of {name} that names {names} is all it reads'
)
def step_read_part_refused(context, names, name):
    refusal = readings.RefusedEntry(id=name, reason='slots is unusable')
    context.catalog.refusals = [refusal]
    step_read_part(context, names)


@behave.when('it reads {names}, and {leaving} is leaving')
def step_read_leaving(context, names, leaving):
    context.catalog.read(names, leaving)


@behave.when('it reads {names}')
def step_read(context, names):
    context.catalog.read(names)


@behave.when('{seconds:d} seconds pass')
def step_pass(context, seconds):
    context.catalog.loop.run_until_complete(asyncio.sleep(seconds))


@behave.when(
    'all processes start anew and one reads {names}, and {leaving} is leaving'
)
def step_lead_leaving(context, names, leaving):
    context.catalog.start_anew()
    context.catalog.read(names, leaving)


@behave.when('another replica leads and reads {names}')
@behave.when('all processes start anew and one reads {names}')
def step_lead(context, names):
    context.catalog.start_anew()
    context.catalog.read(names)


@behave.when('the log takes no entries')
def step_unsound(context):
    context.catalog.node.is_sound = False


@behave.when('the log takes entries again')
def step_sound(context):
    context.catalog.node.is_sound = True
    context.catalog.look()


@behave.when('instances a{first:d} to a{last:d} come one after the other')
def step_turnover(context, first, last):
    for number in range(first, last + 1):
        context.catalog.read(f'a{number}, a{number + 1}, a{number + 2}')
        context.catalog.loop.run_until_complete(asyncio.sleep(5))


@behave.then('{count:d} places are kept at the most')
def step_kept(context, count):
    places = context.catalog.node.machine.places
    assert len(places) <= count, places


@behave.when('it cannot read the list')
def step_unreadable(context):
    context.catalog.listed = None
    context.catalog.look()


@behave.then('{name} has the place of {other}')
def step_place(context, name, other):
    assert context.catalog.place(name) == other


@behave.then('{name} has no place yet')
def step_no_place(context, name):
    assert context.catalog.place(name) == ''


@behave.then('{name} is leaving')
def step_leaving(context, name):
    latest = context.catalog.catalog.latest
    assert name in [one.id for one in latest if one.leaving]


@behave.then('{count:d} entry is counted as refused')
def step_refused(context, count):
    found = context.catalog.counters.counter('list_entries_refused')
    assert found == count, found


@behave.then('the instances are still {names}')
def step_still(context, names):
    found = [one.id for one in context.catalog.catalog.latest]
    assert ', '.join(found) == names, found


@behave.when(
    'the list names {names}, and says that {name} is cold for {cold_ms:d} ms '
    'more'
)
def step_read_cold(context, names, name, cold_ms):
    context.catalog.read_cold(names, name, cold_ms)


@behave.then('{name} is known to be cold for {cold_ms:d} ms more')
def step_is_cold(context, name, cold_ms):
    listed = context.catalog.catalog.latest
    found = {one.id: one.cold_ms for one in listed}
    # Rounded down, after a sum of times.
    assert abs(found.pop(name) - cold_ms) <= 1, found
    assert not any(found.values()), found


@behave.then('the list was told once for that')
def step_told_once(context):
    first = context.catalog.catalog.number - 1
    assert context.catalog.first_number == first


@behave.when('the list is refused, to be asked for again in {seconds:d} s')
def step_turned_away(context, seconds):
    context.catalog.listed = None
    context.catalog.again_s = float(seconds) or None


@behave.then('it is read {count:d} times in {seconds:d} seconds')
def step_count(context, count, seconds):
    found = context.catalog.count_reads(float(seconds))
    assert found == count, found
