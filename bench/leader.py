"""Processor time that a leader spends on its routers' sessions."""

import asyncio
import time

from bench import registry
from features.support import leader_stub
from honeyport.control import sessions
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

_SMALL_FLEET = 20
_LARGE_FLEET = 200
_ENTRIES = 400  # in the replicated log
_BACKENDS = 60
_BACKENDS_PER_REPORT = 3
_TICKS = 40
# Of each router: a report every 250 ms, a tick every 50 ms.
_REPORTS_PER_TICK = 0.2


@registry.register('leader')
async def measure() -> registry.Figures:
    """Measure a second of ticks and reports in a small and a large fleet."""
    small_ms = await _cpu_ms_per_second(_SMALL_FLEET)
    large_ms = await _cpu_ms_per_second(_LARGE_FLEET)
    return {
        f'at_{_SMALL_FLEET}_ms_a_second': small_ms,
        f'at_{_LARGE_FLEET}_ms_a_second': large_ms,
    }


async def _cpu_ms_per_second(count: int) -> float:
    """Return the processor time of a second in milliseconds."""
    streams = sessions.Sessions(
        leader_stub.LeaderStub(_ENTRIES), metrics.Metrics()
    )
    streams._watch_leadership()
    opened = [
        streams._open(leader_stub.hello(number)) for number in range(count)
    ]
    await asyncio.sleep(0)
    spent_s = 0.0
    reports = int(count * _REPORTS_PER_TICK)
    for tick in range(_TICKS):
        started = time.process_time()
        for number in range(reports):
            stream = opened[(tick * reports + number) % count]
            streams._handle_report(stream, _report(tick, number))
        streams._tick()
        spent_s += time.process_time() - started
        for stream in opened:
            if stream.outbox._items:
                await stream.outbox.take()
    return spent_s * 1000 / (_TICKS * sessions._TICK_S)


def _report(tick: int, number: int) -> pb.Report:
    report = pb.Report(number=tick + 1, stamp=1)
    for index in range(_BACKENDS_PER_REPORT):
        backend = (tick * 7 + number * 13 + index) % _BACKENDS
        report.residuals.add(backend=f'i-{backend}', running=1)
    return report
