"""Steps about the loads of all routers."""

import behave

from honeyport.control import fleet
from honeyport.router import fleetstate
from honeyport.wire import honeyport_pb2 as pb

_ROUTERS = ('g-1', 'g-2', 'g-3')
_SERVERS = ('i-1', 'i-2')
_LEASE_S = 3600.0
_FRESH_S = 3600.0


class Setting:
    """The leader's fleet, and what three routers know."""

    def __init__(self):
        self.fleet = fleet.Fleet(1, 0.0)
        self.now = 100.0
        self.running = {
            name: {
                server: number + place
                for place, server in enumerate(_SERVERS, 1)
            }
            for number, name in enumerate(_ROUTERS)
        }
        self.sessions = {
            name: self.fleet.greet(pb.Hello(router=name), self.now, _LEASE_S)
            for name in _ROUTERS
        }
        self.states = {name: fleetstate.FleetState() for name in _ROUTERS}
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
            for server, running in self.running[name].items():
                report.residuals.add(backend=server, running=running)
            report.loads.add(
                service='llm', running=sum(self.running[name].values())
            )
            reports[name] = report
            session = self.sessions[name]
            self.fleet.report(session, report, self.now, _LEASE_S)
        self.fleet.summarize(self.now, _FRESH_S)
        self.messages = [
            self.fleet.loads.message(self.has[name]) for name in _ROUTERS
        ]
        for name, message in zip(_ROUTERS, self.messages, strict=True):
            assert self.sessions[name].counted == self.number
            self.states[name].apply_own(reports[name])
            self.states[name].apply_loads(message)
            self.has[name] = message.number


@behave.given('the reports of three routers on two backend servers')
def step_reports(context):
    context.setting = Setting()


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
            assert state.residual(server) == wanted, (name, server)


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
        assert not any(state.residual(server) for server in _SERVERS)
        assert not state.residuals
        assert not state._others._running, (
            'names of what is gone must not pile up'
        )
