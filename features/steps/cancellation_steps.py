"""Steps about cancellations in the moment in which a wait ends."""

import asyncio
import types

import behave

from features.support import cancellation
from honeyport.control import leadership
from honeyport import errors
from honeyport.policy import traits
from honeyport.router import suspects
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

_REQUEST = '00' * 16
_HEARTBEAT_S = 1.0


@behave.when(
    'replication to a follower is cancelled 0 to {last:d} steps after an '
    'entry was appended'
)
def step_cancel_replication(context, last):
    progress = leadership.Progress(1)
    leader = types.SimpleNamespace(_heartbeat_s=_HEARTBEAT_S)

    def wait():
        progress.wakeup.clear()
        return leadership.Leadership._wait_for_entries(leader, progress)

    context.ignored = context.run(
        cancellation.find_ignored(wait, progress.wakeup.set, last)
    )


@behave.when(
    'a suspect request is cancelled 0 to {last:d} steps after its permit came'
)
def step_cancel_suspect(context, last):
    tracker = suspects.SuspectTracker(metrics.Metrics())
    numbers = []
    context.released = 0

    def send(item):
        numbers.append(item.permit.id)
        context.released += item.HasField('release')
        return True

    def grant():
        tracker.resolve_permit(pb.PermitAnswer(id=numbers[-1], granted=True))

    async def cancel():
        tracker.set_sender(send)
        tracker.apply(
            pb.Suspects(
                suspects=[pb.Suspect(request=bytes.fromhex(_REQUEST), ends=2)]
            )
        )
        return await cancellation.find_ignored(
            lambda: _run_suspect(tracker), grant, last
        )

    context.ignored = context.run(cancel())


@behave.when(
    'a suspect request runs with a permit, and another one like it is refused'
)
def step_refuse_suspect(context):
    tracker = suspects.SuspectTracker(metrics.Metrics())
    asked = []
    context.released = 0

    def send(item):
        context.released += item.HasField('release')
        if item.HasField('permit'):
            asked.append(item.permit.id)
            answer = pb.PermitAnswer(id=asked[-1], granted=len(asked) == 1)
            loop = asyncio.get_running_loop()
            loop.call_soon(tracker.resolve_permit, answer)
        return True

    async def run():
        tracker.set_sender(send)
        tracker.apply(
            pb.Suspects(
                suspects=[pb.Suspect(request=bytes.fromhex(_REQUEST), ends=2)]
            )
        )
        request = traits.Traits(_REQUEST)
        async with tracker.admit(request, lambda release: None):
            try:
                await _run_suspect(tracker)
            except errors.RequestHeld:
                return
            raise AssertionError('the second request was not refused')

    context.run(run())


@behave.then('its permit was released {count:d} times')
def step_released(context, count):
    assert context.released == count, context.released


async def _run_suspect(tracker):
    async with tracker.admit(
        traits.Traits(_REQUEST), lambda release: release()
    ):
        await asyncio.Event().wait()
