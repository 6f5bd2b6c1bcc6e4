"""What a leader spends on its routers' streams, in this process."""

import asyncio
import time

from bench import registry
from features.support import leader_stub
from honeyport.control import sessions
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

_FEW = 20
_MANY = 200
_ENTRIES = 400  # in the log: a router each, places, configurations
_BACKENDS = 60
_RUNNING = 3  # backend servers in a report
_TICKS = 40
_REPORTS_A_TICK = 0.2  # of each router: every 250 ms, a tick every 50 ms


@registry.register('leader')
async def measure() -> registry.Figures:
    """Measure a second of ticks and reports with few and many routers."""
    few = await _second_ms(_FEW)
    many = await _second_ms(_MANY)
    return {
        f'at_{_FEW}_ms_a_second': few,
        f'at_{_MANY}_ms_a_second': many,
    }


async def _second_ms(count: int) -> float:
    """Return the processor milliseconds that a second takes."""
    streams = sessions.Sessions(
        leader_stub.LeaderStub(_ENTRIES), metrics.Metrics()
    )
    streams._watch_leadership()
    opened = [
        streams._open(leader_stub.hello(number)) for number in range(count)
    ]
    await asyncio.sleep(0)
    spent = 0.0
    reports = int(count * _REPORTS_A_TICK)
    for tick in range(_TICKS):
        began = time.process_time()
        for number in range(reports):
            one = opened[(tick * reports + number) % count]
            streams._handle_report(one, _report(tick, number))
        streams._tick()
        spent += time.process_time() - began
        for one in opened:
            if one.outbox._items:
                await one.outbox.take()
    return spent * 1000 / (_TICKS * sessions._TICK_S)


def _report(tick: int, number: int) -> pb.Report:
    report = pb.Report(number=tick + 1, stamp=1)
    for running in range(_RUNNING):
        backend = (tick * 7 + number * 13 + running) % _BACKENDS
        report.residuals.add(backend=f'i-{backend}', running=1)
    return report
