"""Steps about admission control, without a process of a router."""

import asyncio
import contextlib
import zlib

import behave

from honeyport.bundle import entries
from honeyport.bundle import model
from honeyport import exchange
from honeyport import local
from honeyport.router import fleetstate
from honeyport.router import steward
from honeyport.router import suspects
from honeyport.settings import roles
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

_ENGINE = local.free_address()
_LEASE_MS = 60_000


@behave.given(
    'a router that owns {count:d} engines with {slots:d} slots and nothing '
    'running elsewhere'
)
def step_owner(context, count, slots):
    async def make():
        state = fleetstate.FleetState()
        state.apply_config(config(count, slots))
        view = pb.View(number=1)
        view.members.add(router='r1', domain='thu-duc')
        state.apply_view(view)
        loop = asyncio.get_running_loop()
        state.renew_lease(loop.time(), _LEASE_MS)
        controller = steward.AdmissionController(
            'r1',
            state,
            metrics.Metrics(),
            lambda: None,
            suspects.SuspectTracker(metrics.Metrics()),
        )
        controller.sync_servers()
        return controller

    context.admission = context.run(make())
    context.engines = [f'engine-{number}' for number in range(count)]
    context.calls = []


def config(count, slots):
    """Return the message with the first bundle, a snapshot."""
    bundle = model.Bundle(
        version=1,
        signers=model.Signers(keys={}),
        models={'m': model.Model(version='1')},
        services={'llm': model.Service(kind=model.ENGINE, model='m')},
        backends={
            f'engine-{number}': model.Backend(
                service='llm',
                address=_ENGINE,
                domain='thu-duc',
                slots=slots,
            )
            for number in range(count)
        },
    )
    items = entries.to_entries(bundle)
    return pb.Config(
        version=1,
        digest=entries.digest(1, items),
        snapshot=zlib.compress(entries.canonical(items).encode()),
    )


@behave.given('its engines refuse calls with a Retry-After of {seconds:g} s')
def step_turn_away(context, seconds):
    context.arrived = []
    answer = (
        'HTTP/1.1 503 Service Unavailable\r\n'
        f'Retry-After: {seconds:g}\r\n'
        'Content-Length: 0\r\n\r\n'
    ).encode()

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                await reader.readuntil(b'\r\n\r\n')
                if line.startswith(b'POST'):
                    context.arrived.append(line)
                writer.write(answer)
        writer.close()

    async def start():
        host, port = roles.split_address(_ENGINE)
        return await asyncio.start_server(serve, host, port)

    server = context.run(start())

    async def stop():
        server.close()

    context.to_stop.append(stop)


@behave.when('{seconds:g} s pass with a converged view')
def step_wait(context, seconds):
    controller = context.admission

    async def wait_with_converged_view():
        for server in controller._servers.values():
            server.ready = True
            controller._admit_waiting(server)
        await asyncio.sleep(seconds)

    context.run(wait_with_converged_view())


@behave.then('{count:d} call has reached the engines')
@behave.then('{count:d} calls have reached the engines')
def step_reached(context, count):
    assert len(context.arrived) == count, len(context.arrived)


@behave.when('{count:d} calls are queued, {each:d} at each engine')
def step_calls_wait(context, count, each):
    async def queue_calls():
        for name in context.engines:
            for _ in range(each):
                task = asyncio.ensure_future(first(context.admission, name))
                context.calls.append(task)
        await asyncio.sleep(0.01)

    context.run(queue_calls())
    assert len(context.calls) == count


async def first(controller, name):
    """Return the first frame of an answer."""
    loop = asyncio.get_running_loop()
    call = exchange.Call(
        request_id=name,
        service='llm',
        account='a',
        chat='c',
        method='POST',
        path='/',
        deadline=loop.time() + 60,
        queue_timeout_s=60,
    )
    return await anext(controller.answer(call, name))


@behave.when(
    '{reports:d} reports are sent within {seconds:g} s, the first without '
    'load and the others with {count:d} calls'
)
def step_reports(context, reports, seconds, count):
    controller = context.admission

    async def send_reports():
        _renew_lease(controller)
        controller.add_loads(pb.Report())
        for _ in range(count):
            server = controller._servers[context.engines[0]]
            server.running += 1
        for _ in range(reports - 1):
            await asyncio.sleep(seconds / reports)
            controller.add_loads(pb.Report())

    context.run(send_reports())


@behave.when('{seconds:g} s pass after an answer')
def step_pass_after_answer(context, seconds):
    controller = context.admission

    async def wait():
        await asyncio.sleep(seconds)
        _renew_lease(controller)
        controller.add_loads(pb.Report())

    context.run(wait())


def _renew_lease(controller):
    """Apply an answer to a report that was sent now."""
    now = asyncio.get_running_loop().time()
    controller._state.renew_lease(now, _LEASE_MS)


@behave.then('each engine may run {count:d} calls')
def step_may_run(context, count):
    controller = context.admission

    async def read_limits():
        return {
            controller._concurrency_limit(controller._servers[name])
            for name in context.engines
        }

    limits = context.run(read_limits())
    stop_calls(context)
    assert limits == {count}, limits


@behave.when('the lease lapses and the view converges after that')
def step_lapse(context):
    async def lapse():
        state = context.admission._state
        state._lease_until = asyncio.get_running_loop().time() - 1
        state.apply_loads(pb.Loads(settled=1, settled_version=1))
        for server in context.admission._servers.values():
            server.ready = True
        tasks = [
            asyncio.ensure_future(context.admission.run_admission()),
            asyncio.ensure_future(context.admission.run_probes()),
        ]
        context.admission.on_state_changed()
        await asyncio.sleep(0.05)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    context.run(lapse())


@behave.then('all calls are refused with "{code}" and none was sent')
def step_refused_waiting(context, code):
    codes = {task.exception().code for task in context.calls}
    assert codes == {code}, codes
    assert context.admission.running == 0


@behave.then('all calls are still queued')
def step_still_queued(context):
    waiting = [not task.done() for task in context.calls]
    stop_calls(context)
    assert all(waiting)
    assert context.admission.running == 0


def stop_calls(context):
    """Cancel the calls that are still queued."""

    async def stop():
        for task in context.calls:
            task.cancel()
        await asyncio.gather(*context.calls, return_exceptions=True)

    context.run(stop())
