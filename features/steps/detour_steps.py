"""Steps about requests that one gateway forwards for another."""

import asyncio
import json

import behave

from features.steps import gateway_steps
from honeyport.ingress import held_bytes
from honeyport import local
from honeyport.wire import honeyport_pb2 as pb

_TIMEOUT_S = 3.0
# Less than the time limit of the route.
_AT_ONCE_S = 1.0
_MORE_THAN_ALL_BYTES = 10**15
_GATEWAY_PAUSE_S = 0.6


class CutOffFixture(gateway_steps.GatewayFixture):
    """A gateway that reaches no instance, and another one that reaches all.

    The instances and their script are those of the other gateway.
    """

    def __init__(self, steps, **options):
        super().__init__(['answer'], **options)
        self.other_domain = 'thu-duc'
        self.other = gateway_steps.GatewayFixture(steps, name='g-2', **options)
        self.script = self.other.script
        self.instances = self.other.instances
        self.cut()

    def cut(self):
        """Let connections to all instances be refused."""
        self.address_by_instance = {
            instance.name: local.free_address() for instance in self.instances
        }

    async def start(self, kind):
        """Start both gateways; wait until the first one is cut off."""
        await self.other.start(kind)
        await self.gateway.start(self.tree)
        self.make_ready(kind)
        self.list_gateways()
        await gateway_steps.send_request(self)
        async with asyncio.timeout(_TIMEOUT_S):
            while not self.gateway.cut_off:
                await asyncio.sleep(0.01)
        assert not self.script.arrivals

    def list_gateways(self, cut_off=()):
        """Apply a list of both gateways to the first one.

        :param cut_off: services that the other one cannot reach
        """
        self.gateway.state.apply_presence(self._presence(cut_off))

    def list_at_other(self):
        """Apply a list of both gateways to the other one."""
        self.other.gateway.state.apply_presence(self._presence(()))

    def _presence(self, cut_off):
        presence = pb.Presence()
        for gateway in (self, self.other):
            presence.members.add(
                router=gateway.name,
                domain=(
                    self.other_domain if gateway is self.other else 'thu-duc'
                ),
                address=gateway.address,
                peer_address=gateway.peer_address,
                cut_off=cut_off if gateway is self.other else (),
            )
        return presence

    async def stop(self):
        """Stop both gateways."""
        await self.tree.stop()
        await self.other.stop()


@behave.when('the other gateway holds all that it may')
def step_hold_all(context):
    async def hold():
        account = context.fixture.other.gateway._held_bytes
        context.holding = held_bytes.Holding(account)
        context.holding.update(held_bytes.REQUEST, _MORE_THAN_ALL_BYTES)

    context.run(hold())


@behave.when('it holds nothing any more')
def step_hold_nothing(context):
    async def release():
        context.holding.release()
        # The first gateway does not ask it again for a while.
        await asyncio.sleep(_GATEWAY_PAUSE_S)

    context.run(release())


@behave.given(
    'a gateway for {kind} requests that reaches no instance, and another one '
    'whose instances {steps}'
)
def step_cut_off(context, kind, steps):
    context.fixture = CutOffFixture(
        [step.strip() for step in steps.split(';')]
    )
    context.run(context.fixture.start(kind))
    context.to_stop.append(context.fixture.stop)


@behave.given(
    'a gateway without a retry budget for {kind} requests that reaches no '
    'instance, and another one whose instances {steps}'
)
def step_cut_off_without_budget(context, kind, steps):
    context.fixture = CutOffFixture(
        [step.strip() for step in steps.split(';')], extra=0.0
    )
    context.run(context.fixture.start(kind))
    context.to_stop.append(context.fixture.stop)


@behave.when('the other gateway has an older configuration')
def step_older_configuration(context):
    async def configure():
        context.fixture.configure('idempotent')

    context.run(configure())


@behave.when('the other gateway gets the configuration')
def step_configured(context):
    async def configure():
        context.fixture.other.configure('idempotent')

    context.run(configure())


@behave.when('{count:d} callers send a request at once')
def step_send_at_once(context, count):
    context.run(_send_at_once(context, count))


@behave.then(
    '{count:d} requests arrive, and the others are refused at once as not run'
)
def step_limited(context, count):
    assert len(context.fixture.script.arrivals) == count
    assert len(context.responses) == context.sent - count
    for response in context.responses:
        assert json.loads(response.body)['error']['ran'] is False, response
        assert float(response.headers['Retry-After']) > 0, response


@behave.when('the configuration of the other gateway has no such account')
def step_no_account(context):
    async def configure():
        context.fixture.other.configure('idempotent', account='another')

    context.run(configure())


@behave.when('the lease of the other gateway ends')
def step_lease_ends(context):
    state = context.fixture.other.gateway.state
    state._lease_until = float('-inf')


@behave.when('the other gateway is cut off, too')
def step_other_cut_off(context):
    context.run(_cut_off_other(context.fixture))


@behave.when('the other gateway knows the first one')
def step_other_knows(context):
    async def list_gateways():
        context.fixture.list_at_other()

    context.run(list_gateways())


@behave.then('the other gateway asked nobody')
def step_asked_nobody(context):
    counters = context.fixture.other.counters
    assert not counters.counter('detours', service='app')


@behave.when('the other gateway can no longer be reached')
def step_other_unreachable(context):
    async def list_gateways():
        context.fixture.other.peer_address = local.free_address()
        context.fixture.list_gateways()

    context.run(list_gateways())


@behave.when('the instances of the other gateway refuse connections')
def step_other_refused(context):
    context.run(_refuse_connections(context.fixture.other))


@behave.when('the other gateway is known to be cut off')
def step_known_cut_off(context):
    async def list_gateways():
        context.fixture.list_gateways(cut_off=['app'])

    context.run(list_gateways())


@behave.when('no other gateway is listed')
def step_unlisted(context):
    async def list_none():
        context.fixture.gateway.state.apply_presence(pb.Presence())

    context.run(list_none())


@behave.when('the gateway reaches the instances again')
def step_healed(context):
    context.run(_heal(context.fixture))


@behave.when('a second passes')
def step_second(context):
    context.run(asyncio.sleep(1.0))


@behave.when('its region is {own}, that of the other one is {other}')
def step_regions(context, own, other):
    context.fixture.regions |= {'thu-duc': own, 'tan-binh': other}
    context.fixture.other_domain = 'tan-binh'

    async def list_gateways():
        context.fixture.list_gateways()

    context.run(list_gateways())


@behave.when('its requests must stay in {region}')
def step_stay(context, region):
    async def configure():
        context.fixture.other.configure('idempotent', regions=(region,))
        context.fixture.configure('idempotent', regions=(region,))

    context.run(configure())


@behave.then('the other gateway forwarded {count:d} requests')
def step_forwarded(context, count):
    counters = context.fixture.counters
    actual = counters.counter('detours', service='app')
    assert actual == count, actual


async def _send_at_once(context, count):
    """Send requests; collect the responses that come before any deadline."""
    context.sent = count
    tasks = [
        asyncio.create_task(gateway_steps.send_request(context.fixture))
        for _ in range(count)
    ]
    done, pending = await asyncio.wait(tasks, timeout=_AT_ONCE_S)
    for task in pending:
        task.cancel()
    context.responses = [task.result() for task in done]


async def _refuse_connections(fixture):
    fixture.address_by_instance = {
        instance.name: local.free_address() for instance in fixture.instances
    }
    fixture.gateway._pool.close()
    fixture.apply_instances()


async def _cut_off_other(fixture):
    await _refuse_connections(fixture.other)
    await gateway_steps.send_request(fixture.other)
    async with asyncio.timeout(_TIMEOUT_S):
        while not fixture.other.gateway.cut_off:
            await asyncio.sleep(0.01)


async def _heal(fixture):
    fixture.address_by_instance = fixture.other.address_by_instance
    fixture.apply_instances()
    async with asyncio.timeout(_TIMEOUT_S):
        while fixture.gateway.cut_off:
            await asyncio.sleep(0.01)
