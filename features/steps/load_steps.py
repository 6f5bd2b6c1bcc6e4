"""Steps about the exchange of loads between routers and the leader."""

import behave

from honeyport.control import fleet
from honeyport.control import instance_lists
from honeyport.router import fleetstate
from honeyport.wire import honeyport_pb2 as pb

_ROUTERS = ('g-1', 'g-2', 'g-3')
_DOMAINS = ('thu-duc', 'thu-duc', 'tan-binh')
_SERVERS = ('i-1', 'i-2')
_LEASE_S = 3600.0
_MAX_LOAD_AGE_S = 3600.0


class LoadsFixture:
    """The fleet state of the leader and of three routers."""

    def __init__(self, **hello):
        listed = [
            pb.Instance(id=name, domain=domain)
            for name, domain in zip(_SERVERS, _DOMAINS, strict=False)
        ]
        lists = instance_lists.InstanceLists()
        if hello:  # gateways read the list of instances
            lists.replace(1, listed)
            lists.publish()
        self.fleet = fleet.Fleet(1, 0.0, lists)
        self.now = 100.0
        self.running = {
            name: {
                server: number + place
                for place, server in enumerate(_SERVERS, 1)
            }
            for number, name in enumerate(_ROUTERS)
        }
        self.backing_off = dict.fromkeys(_ROUTERS, ())
        self.tolerances = {}
        self.sessions = {
            name: self.fleet.register(
                pb.Hello(router=name, domain=domain, **hello),
                self.now,
                _LEASE_S,
            )
            for name, domain in zip(_ROUTERS, _DOMAINS, strict=True)
        }
        self.states = {name: fleetstate.FleetState() for name in _ROUTERS}
        for state in self.states.values():
            state.apply_instances(pb.Instances(number=1, instances=listed))
        self.applied_numbers = dict.fromkeys(_ROUTERS, 0)
        self.number = 0
        self.exchange_loads()

    def exchange_loads(self):
        """Send all reports to the leader and its loads to all routers."""
        self.number += 1
        reports = {}
        for name in _ROUTERS:
            report = pb.Report(
                number=self.number, stamp=self.fleet.stamp(self.now)
            )
            report.resting.extend(self.backing_off[name])
            if name in self.tolerances:
                report.brittle.add(
                    service='llm', rejections=self.tolerances[name]
                )
            for server, running in self.running[name].items():
                report.residuals.add(backend=server, running=running)
            report.loads.add(
                service='llm', running=sum(self.running[name].values())
            )
            reports[name] = report
            session = self.sessions[name]
            self.fleet.apply_report(session, report, self.now, _LEASE_S)
        self.fleet.update_loads(self.now, _MAX_LOAD_AGE_S)
        self.messages = [
            self.fleet.loads.message(self.applied_numbers[name])
            for name in _ROUTERS
        ]
        for name, message in zip(_ROUTERS, self.messages, strict=True):
            assert self.sessions[name].counted_report_number == self.number
            self.states[name].apply_own_report(reports[name])
            self.states[name].apply_loads(message)
            self.applied_numbers[name] = message.number


@behave.given('the reports of three routers on two backend servers')
def step_reports(context):
    context.fixture = LoadsFixture()


@behave.given('the reports of three gateways, two of them in one domain')
def step_gateways(context):
    context.fixture = LoadsFixture(no_view=True)


@behave.when(
    'gateways {numbers} report that the first instance is backing off'
)
def step_backing_off(context, numbers):
    for number in numbers.split(' and '):
        name = _ROUTERS[int(number) - 1]
        context.fixture.backing_off[name] = _SERVERS[:1]
    context.fixture.exchange_loads()


@behave.when(
    'gateway {number:d} reports that an instance survives {count:d} rejections'
)
def step_brittle(context, number, count):
    context.fixture.tolerances[_ROUTERS[number - 1]] = count
    context.fixture.exchange_loads()


@behave.when('no gateway reports a brittle service any more')
def step_no_brittle(context):
    context.fixture.tolerances.clear()
    context.fixture.exchange_loads()


@behave.then(
    'all gateways know that an instance survives {count:d} rejections'
)
def step_tolerance(context, count):
    for state in context.fixture.states.values():
        assert state.rejection_tolerances == {'llm': count}


@behave.then('no gateway knows of a brittle service')
def step_none_brittle(context):
    for state in context.fixture.states.values():
        assert not state.rejection_tolerances


@behave.when('no gateway reports an instance any more')
def step_no_reports(context):
    context.fixture.backing_off = dict.fromkeys(_ROUTERS, ())
    context.fixture.exchange_loads()


@behave.then('all gateways know {count:d} instances as unreachable')
def step_unreachable(context, count):
    for name, state in context.fixture.states.items():
        unreachable_instances = state.unreachable
        assert unreachable_instances == set(_SERVERS[:count]), (
            name,
            unreachable_instances,
        )


@behave.when('one of them has one request more on the first')
def step_one_more(context):
    context.fixture.running[_ROUTERS[0]][_SERVERS[0]] += 1
    context.fixture.exchange_loads()


@behave.when('the totals change {count:d} times')
def step_change(context, count):
    context.first = context.fixture.applied_numbers[_ROUTERS[0]]
    for _ in range(count):
        step_one_more(context)


@behave.when('all requests have ended')
def step_ended(context):
    for running in context.fixture.running.values():
        running.clear()
    context.fixture.exchange_loads()


@behave.when('the stream of the last one ends')
def step_stream_ends(context):
    fixture = context.fixture
    fixture.fleet.mark_silent(fixture.sessions[_ROUTERS[-1]])
    fixture.fleet.update_loads(fixture.now, _MAX_LOAD_AGE_S)


@behave.then('the total load is that of the first two')
def step_total(context):
    fixture = context.fixture
    message = fixture.fleet.loads.message(0)
    totals = {load.service: load.running for load in message.totals}
    expected = sum(
        sum(fixture.running[name].values()) for name in _ROUTERS[:2]
    )
    assert totals == {'llm': expected}, totals


@behave.then('each router knows the loads of the other two')
def step_knows_loads(context):
    fixture = context.fixture
    for name, state in fixture.states.items():
        other_routers = [router for router in _ROUTERS if router != name]
        for server in _SERVERS:
            expected = sum(
                fixture.running[router][server] for router in other_routers
            )
            assert state.running_elsewhere_on(server) == expected, (
                name,
                server,
            )


@behave.then('the next message contains the first one alone')
def step_contains_first(context):
    for message in context.fixture.messages:
        backends = [load.backend for load in message.residuals]
        assert message.base and backends == [_SERVERS[0]], message


@behave.then('all routers get the same message')
def step_same_message(context):
    first, *other_routers = context.fixture.messages
    assert all(message is first for message in other_routers)


@behave.then('a router that has the first totals gets all loads')
def step_all_loads(context):
    message = context.fixture.fleet.loads.message(context.first)
    assert not message.base and len(message.residuals) == len(_SERVERS)


@behave.then('no router knows of any request')
def step_no_requests(context):
    for state in context.fixture.states.values():
        assert not any(
            state.running_elsewhere_on(server) for server in _SERVERS
        )
        assert not state.running_elsewhere
        assert not state._peer_loads._running, (
            'entries without requests must be removed'
        )
