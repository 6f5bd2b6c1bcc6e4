"""Steps about a router's stream to the leader."""

import asyncio

import behave

from features.steps import platform_steps
from features.support import cancellation
from honeyport.router import fleetstate
from honeyport.router import session
from honeyport.router import suspects
from honeyport.settings import roles
from honeyport.telemetry import metrics
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc
from honeyport.wire import outbox

_ATTACH_TIMEOUT_S = 2.0
_LEASE_MS = 4000


class _Leader(rpc.SessionServicer):
    """A leader that answers reports until it is told not to."""

    def __init__(self):
        self.answers = True
        self.address = ''

    async def start(self):
        server = channels.server()
        rpc.add_SessionServicer_to_server(self, server)
        port = server.add_insecure_port('127.0.0.1:0')
        await server.start()
        self.address = f'127.0.0.1:{port}'
        return server

    async def Attach(self, request_iterator, context):
        yield pb.ControlBatch()
        async for batch in request_iterator:
            for item in batch.items:
                if self.answers and item.HasField('report'):
                    answer = pb.ReportAnswer(
                        number=item.report.number, lease_ms=_LEASE_MS
                    )
                    yield pb.ControlBatch(
                        items=[pb.ControlItem(answer=answer)]
                    )


@behave.given('a router that is attached to leader A')
def step_attach(context):
    context.leaders = {'A': _Leader(), 'B': _Leader()}
    context.run(_start(context))


@behave.when('leader {name} is silent for {seconds:g} seconds')
def step_silent(context, name, seconds):
    context.leaders[name].answers = False
    context.run(asyncio.sleep(seconds))


@behave.when('leader {name} introduces itself')
def step_introduce(context, name):
    context.run(_introduce(context, name, 1))


@behave.when('leader {name} introduces itself {count:d} times at once')
def step_introduce_often(context, name, count):
    context.run(_introduce(context, name, count))


@behave.then(
    'the router is attached to leader {name} within {seconds:g} seconds'
)
def step_attached(context, name, seconds):
    context.run(_wait_until_attached(context, name, seconds))


@behave.then(
    'the router is still attached to leader {name} after {seconds:g} seconds'
)
def step_still_attached(context, name, seconds):
    context.run(asyncio.sleep(seconds))
    assert context.session.leader == context.leaders[name].address


@behave.when(
    'the sending of reports is cancelled 0 to {last:d} steps after a request'
)
def step_cancel_reports(context, last):
    context.ignored = context.run(
        cancellation.find_ignored(
            lambda: context.session._send_reports(outbox.Outbox()),
            context.session.report_soon,
            last,
        )
    )


@behave.then('no cancellation is ignored')
def step_none_ignored(context):
    assert not context.ignored, context.ignored


async def _introduce(context, name, count):
    address = context.leaders[name].address
    for _ in range(count):
        context.session.handle_introduction(
            pb.Redirect(leader=address, replicas=[address])
        )
        await asyncio.sleep(0)


async def _start(context):
    servers = [await leader.start() for leader in context.leaders.values()]
    counters = metrics.Metrics()
    context.session = session.Session(
        roles.Router(
            name='gateway-1',
            domain='thu-duc',
            listen='127.0.0.1:1',
            peer_listen='127.0.0.1:2',
            control=(context.leaders['A'].address,),
        ),
        fleetstate.FleetState(),
        lambda report: None,
        None,
        lambda: None,
        suspects.SuspectTracker(counters),
        counters,
    )
    task = asyncio.create_task(context.session.run())

    async def stop():
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for server in servers:
            await server.stop(None)

    context.to_stop.append(stop)
    await _wait_until_attached(context, 'A', _ATTACH_TIMEOUT_S)


async def _wait_until_attached(context, name, seconds):
    async def is_attached():
        return context.session.leader == context.leaders[name].address

    await platform_steps.wait_until(is_attached, seconds)
