"""Stub routers: real control sessions without a data plane."""

import asyncio
import time

from features.support import world as worlds
from honeyport.router import fleetstate
from honeyport.router import session
from honeyport.router import suspects
from honeyport.settings import roles
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb


class _StubState(fleetstate.FleetState):
    """Records the times of applied versions without keeping the bundle.

    :ivar applied: wall-clock time by version
    """

    applied: dict[int, float]

    def apply_config(self, config: pb.Config) -> bool:
        self._version = config.version
        self._digest = config.digest
        self.applied[config.version] = time.time()
        return True


class Subscribers:
    """Control sessions of many stub routers in this process."""

    def __init__(self, world: worlds.World, count: int) -> None:
        self.counters = metrics.Metrics()
        self.states: list[_StubState] = []
        self.sessions: list[session.Session] = []
        self._tasks: list[asyncio.Task[None]] = []
        for number in range(count):
            settings = roles.Router(
                name=f'stub-{number}',
                domain=worlds.DOMAINS[number % 3],
                listen=f'127.0.0.2:{10000 + number}',
                peer_listen=f'127.0.0.2:{20000 + number}',
                control=tuple(world.control.values()),
            )
            state = _StubState()
            state.applied = {}
            state._bundle = None
            self.states.append(state)
            self.sessions.append(
                session.Session(
                    settings,
                    state,
                    _add_loads,
                    _ignore_leader,
                    _do_nothing,
                    suspects.SuspectTracker(self.counters),
                    self.counters,
                )
            )

    async def start(self, world: worlds.World) -> None:
        """Start all sessions; return once each has a version."""
        for control_session in self.sessions:
            self._tasks.append(asyncio.create_task(control_session.run()))
        await world.wait_until(
            lambda: all(state.version for state in self.states),
            'all subscribers have a version',
            120,
        )

    async def stop(self) -> None:
        """Cancel all sessions."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def bytes(self) -> float:
        """Return the bytes that all sessions sent and received."""
        return sum(
            self.counters.counter('control_bytes', direction=direction)
            for direction in ('sent', 'received')
        )


def _add_loads(report: pb.Report) -> None:
    for number in range(6):
        report.loads.add(service=f'model-{number}', running=3)


def _ignore_leader(followed: bool) -> None:
    return None


def _do_nothing() -> None:
    return None
