"""Steps about the loads of all routers."""

import behave

from honeyport.control import fleet
from honeyport.control import instance_lists
from honeyport.router import fleetstate
from honeyport.wire import honeyport_pb2 as pb

_ROUTERS = ('g-1', 'g-2', 'g-3')
_DOMAINS = ('thu-duc', 'thu-duc', 'tan-binh')
_SERVERS = ('i-1', 'i-2')
_LEASE_S = 3600.0
_FRESH_S = 3600.0


class Setting:
    """The leader's fleet, and what three routers know."""

    def __init__(self, **hello):
        listed = [
            pb.Instance(id=name, domain=domain)
            for name, domain in zip(_SERVERS, _DOMAINS, strict=False)
        ]
        lists = instance_lists.InstanceLists()
        if hello:  # of those who read the list of instances
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
        self.resting = dict.fromkeys(_ROUTERS, ())
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
        self.has = dict.fromkeys(_ROUTERS, 0)
        self.number = 0
        self.exchange()

    def exchange(self):
        """Send all reports, then bring all routers up to date."""
        self.number += 1
        reports = {}
        for name in _ROUTERS:
            report = pb.Report(
                number=self.number, stamp=self.fleet.stamp(self.now)
            )
            report.resting.extend(self.resting[name])
            for server, running in self.running[name].items():
                report.residuals.add(backend=server, running=running)
            report.loads.add(
                service='llm', running=sum(self.running[name].values())
            )
            reports[name] = report
            session = self.sessions[name]
            self.fleet.apply_report(session, report, self.now, _LEASE_S)
        self.fleet.update_loads(self.now, _FRESH_S)
        self.messages = [
            self.fleet.loads.message(self.has[name]) for name in _ROUTERS
        ]
        for name, message in zip(_ROUTERS, self.messages, strict=True):
            assert self.sessions[name].counted_report_number == self.number
            self.states[name].apply_own_report(reports[name])
            self.states[name].apply_loads(message)
            self.has[name] = message.number


@behave.given('the reports of three routers on two backend servers')
def step_reports(context):
    context.setting = Setting()


@behave.given('the reports of three gateways, two of them in one domain')
def step_gateways(context):
    context.setting = Setting(no_view=True)


@behave.when('gateways {numbers} report that the first instance rests')
def step_rests(context, numbers):
    for number in numbers.split(' and '):
        name = _ROUTERS[int(number) - 1]
        context.setting.resting[name] = _SERVERS[:1]
    context.setting.exchange()


@behave.when('no gateway reports that any more')
def step_rested(context):
    context.setting.resting = dict.fromkeys(_ROUTERS, ())
    context.setting.exchange()


@behave.then('all gateways leave {count:d} instances alone')
def step_alone(context, count):
    for name, state in context.setting.states.items():
        found = state.unreachable
        assert found == set(_SERVERS[:count]), (name, found)


@behave.when('one of them has one request more on the first')
def step_more(context):
    context.setting.running[_ROUTERS[0]][_SERVERS[0]] += 1
    context.setting.exchange()


@behave.when('the sums change {count:d} times')
def step_change(context, count):
    context.first = context.setting.has[_ROUTERS[0]]
    for _ in range(count):
        step_more(context)


@behave.when('all of them have ended')
def step_ended(context):
    for running in context.setting.running.values():
        running.clear()
    context.setting.exchange()


@behave.then('each router knows what the other two have')
def step_knows(context):
    setting = context.setting
    for name, state in setting.states.items():
        others = [one for one in _ROUTERS if one != name]
        for server in _SERVERS:
            wanted = sum(setting.running[one][server] for one in others)
            assert state.running_elsewhere_on(server) == wanted, (name, server)


@behave.then('the next message names the first alone')
def step_names(context):
    for message in context.setting.messages:
        named = [load.backend for load in message.residuals]
        assert message.base and named == [_SERVERS[0]], message


@behave.then('all routers get the same message')
def step_same_message(context):
    first, *others = context.setting.messages
    assert all(message is first for message in others)


@behave.then('a router that has the first sum gets everything')
def step_everything(context):
    message = context.setting.fleet.loads.message(context.first)
    assert not message.base and len(message.residuals) == len(_SERVERS)


@behave.then('no router knows of any request')
def step_none(context):
    for state in context.setting.states.values():
        assert not any(
            state.running_elsewhere_on(server) for server in _SERVERS
        )
        assert not state.running_elsewhere
        assert not state._peer_loads._running, (
            'names of what is gone must not pile up'
        )
