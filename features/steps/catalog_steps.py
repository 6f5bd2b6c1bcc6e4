"""Steps for the catalog of instances, on a virtual clock."""

import asyncio

import behave

from features.support import simulation
from honeyport.control import catalog
from honeyport.control import machine
from honeyport import errors
from honeyport.policy import readings
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

# In seconds: longer than the catalog takes to commit places, shorter than the
# pause between two readings.
_READ_AND_COMMIT_S = 0.5


_COMMANDS = {pb.PlaceChange: 'places', pb.VersionChange: 'versions'}


class _FakeLeader:
    """Fake of a leading control replica, with what the catalog uses."""

    leads = True

    def __init__(self, term: int = 1) -> None:
        self.term = term
        self.machine = machine.Machine()
        self.commits_succeed = True
        self.commit_s = 0.0

    async def propose(self, command):
        """Apply a change at once, or fail."""
        if not self.commits_succeed:
            raise errors.CommitUnknown('no quorum')
        await asyncio.sleep(self.commit_s)
        field = _COMMANDS[type(command)]
        return self.machine.apply(pb.Entry(**{field: command}))


class CatalogSetup:
    """A catalog with a fake leader and a fake list."""

    def __init__(self) -> None:
        self.loop = simulation.VirtualLoop()
        self.listed_instances: list[pb.Instance] | None = []
        self.first_cold_list_number = 0
        self.missing = ''
        self.retry_after_s: float | None = None
        self.reads = 0
        self.refusals: list[readings.RefusedEntry] = []
        self.counters = metrics.Metrics()
        self.node = _FakeLeader()
        self.become_leader()

    def become_leader(self) -> None:
        """Create the catalog of a new leader."""
        self.catalog = catalog.Catalog(self.node, self._read, self.counters)

    def restart(self, *, has_record: bool = True) -> None:
        """Restart with the state of a snapshot only, as a new leader."""
        snapshot = pb.State.FromString(
            self.node.machine.save().SerializeToString()
        )
        if not has_record:
            snapshot.ClearField('versions')
        commits_succeed = self.node.commits_succeed
        self.node = _FakeLeader(term=self.node.term + 1)
        self.node.machine.restore(snapshot)
        self.node.commits_succeed = commits_succeed
        self.become_leader()

    def read(self, names: str, leaving: str = '') -> None:
        """Read a list of instances once."""
        self.listed_instances = [
            pb.Instance(id=name, service='llm', leaving=name == leaving)
            for name in names.split(', ')
        ]
        self.read_current_list()

    def read_versions(self, entries: str) -> None:
        """Read a list of instances with versions, such as ``a=v1``."""
        self.listed_instances = [
            pb.Instance(id=name, service='llm', version=version)
            for name, version in (
                entry.split('=') for entry in entries.split(', ')
            )
        ]
        self.read_current_list()

    def read_cold(self, names: str, cold_name: str, cold_ms: int) -> None:
        """Read a list in which one instance is cold."""
        self.listed_instances = [
            pb.Instance(
                id=name,
                service='llm',
                cold_ms=cold_ms if name == cold_name else 0,
            )
            for name in names.split(', ')
        ]
        self.first_cold_list_number = (
            self.first_cold_list_number or self.catalog.number
        )
        self.read_current_list()

    def read_current_list(self) -> None:
        """Read the current list once and commit changed places."""
        self.loop.run_until_complete(self._read_and_commit())

    def count_reads(self, seconds: float) -> int:
        """Return how often the list is read within a time."""
        self.reads = 0
        self.loop.run_until_complete(self._run_for(seconds))
        return self.reads

    async def _run_for(self, seconds: float) -> None:
        read_task = asyncio.create_task(self.catalog.run())
        await asyncio.sleep(seconds)
        read_task.cancel()

    async def _read_and_commit(self) -> None:
        read_task = asyncio.create_task(self.catalog.run())
        commit_task = asyncio.create_task(self.catalog.persist_places())
        await asyncio.sleep(_READ_AND_COMMIT_S)
        for task in (read_task, commit_task):
            task.cancel()
        await asyncio.wait([read_task, commit_task])

    async def _read(self) -> readings.Reading:
        self.reads += 1
        if self.listed_instances is None:
            raise errors.ListUnreadable(
                'no answer', retry_after=self.retry_after_s
            )
        return readings.Reading(
            instances=self.listed_instances,
            refused_entries=self.refusals,
            missing_reason=self.missing,
        )

    def place(self, name: str) -> str:
        """Return the place of an instance."""
        places = {
            instance.id: instance.place for instance in self.catalog.latest
        }
        return places[name]


@behave.given('a catalog that has read the instances {names}')
def step_catalog(context, names):
    context.catalog = CatalogSetup()
    context.catalog.read(names)


@behave.given('a catalog that has read the versions {entries}')
def step_version_catalog(context, entries):
    context.catalog = CatalogSetup()
    context.catalog.read_versions(entries)


@behave.when('the list shows the versions {entries}')
def step_read_versions(context, entries):
    context.catalog.read_versions(entries)


@behave.when('all processes restart and the list shows the versions {entries}')
def step_restart_versions(context, entries):
    context.catalog.restart()
    context.catalog.read_versions(entries)


@behave.when('all processes restart with a state of an earlier release')
def step_restart_earlier(context):
    context.catalog.restart(has_record=False)


@behave.when('commits take {seconds:d} s')
def step_slow_commits(context, seconds):
    context.catalog.node.commit_s = float(seconds)


@behave.when('it does not lead for a moment')
def step_not_leading(context):
    context.catalog.node.leads = False
    context.catalog.read_current_list()
    context.catalog.node.leads = True


@behave.when('the list is empty')
def step_read_empty(context):
    context.catalog.listed_instances = []
    context.catalog.read_current_list()


@behave.then('no list is published')
def step_no_list(context):
    assert context.catalog.catalog.number == 0


@behave.then('{count:d} services are on record')
def step_services(context, count):
    recorded = context.catalog.node.machine.versions
    assert len(recorded) == count, recorded


@behave.then('{names} may have begun streams')
def step_may_have_begun(context, names):
    lists = context.catalog.catalog.lists
    lists.publish()
    message = lists.message(0, b'')
    published = {
        entry.service: {version or 'earlier' for version in entry.versions}
        for entry in message.versions
    }
    assert published == {'llm': set(names.split('+'))}, published


@behave.when('a part of the list with {names} is readable')
def step_read_part(context, names):
    context.catalog.missing = 'no answer'
    context.catalog.read(names)
    context.catalog.missing = ''


@behave.when(
    'a part with an unusable entry of {name} and the instances {names} is '
    'readable'
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
    'all processes restart and the leader reads {names}, and {leaving} is '
    'leaving'
)
def step_lead_leaving(context, names, leaving):
    context.catalog.restart()
    context.catalog.read(names, leaving)


@behave.when('another replica becomes leader and reads {names}')
@behave.when('all processes restart and the leader reads {names}')
def step_lead(context, names):
    context.catalog.restart()
    context.catalog.read(names)


@behave.when('commits fail')
def step_commits_fail(context):
    context.catalog.node.commits_succeed = False


@behave.when('commits succeed again')
def step_commits_succeed(context):
    context.catalog.node.commits_succeed = True
    context.catalog.read_current_list()


@behave.when(
    'instances a{first:d} to a{last:d} are listed one after the other'
)
def step_turnover(context, first, last):
    for number in range(first, last + 1):
        context.catalog.read(f'a{number}, a{number + 1}, a{number + 2}')
        context.catalog.loop.run_until_complete(asyncio.sleep(5))


@behave.then('at most {count:d} places are stored')
def step_stored(context, count):
    places = context.catalog.node.machine.places
    assert len(places) <= count, places


@behave.when('it fails to read the list')
def step_unreadable(context):
    context.catalog.listed_instances = None
    context.catalog.read_current_list()


@behave.then('{name} has the place of {place}')
def step_place(context, name, place):
    assert context.catalog.place(name) == place


@behave.then('{name} has no place yet')
def step_no_place(context, name):
    assert context.catalog.place(name) == ''


@behave.then('{name} is leaving')
def step_leaving(context, name):
    latest = context.catalog.catalog.latest
    assert name in [instance.id for instance in latest if instance.leaving]


@behave.then('{count:d} entry is counted as refused')
def step_refused(context, count):
    refused = context.catalog.counters.counter('list_entries_refused')
    assert refused == count, refused


@behave.then('the known instances are {names}')
def step_known_instances(context, names):
    known_names = [instance.id for instance in context.catalog.catalog.latest]
    assert ', '.join(known_names) == names, known_names


@behave.when(
    'the list has {names}, and {name} is cold for another {cold_ms:d} ms'
)
def step_read_cold(context, names, name, cold_ms):
    context.catalog.read_cold(names, name, cold_ms)


@behave.then('{name} is published as cold for another {cold_ms:d} ms')
def step_is_cold(context, name, cold_ms):
    instances = context.catalog.catalog.latest
    cold_ms_by_name = {instance.id: instance.cold_ms for instance in instances}
    # One millisecond less because of rounding down.
    assert abs(cold_ms_by_name.pop(name) - cold_ms) <= 1, cold_ms_by_name
    assert not any(cold_ms_by_name.values()), cold_ms_by_name


@behave.then('exactly one new list was published')
def step_one_list_published(context):
    previous_number = context.catalog.catalog.number - 1
    assert context.catalog.first_cold_list_number == previous_number


@behave.when(
    'the server refuses the list and asks for a pause of {seconds:d} s'
)
def step_refuses_list(context, seconds):
    context.catalog.listed_instances = None
    context.catalog.retry_after_s = float(seconds) or None


@behave.then('it is read {count:d} times in {seconds:d} seconds')
def step_count(context, count, seconds):
    reads = context.catalog.count_reads(float(seconds))
    assert reads == count, reads
