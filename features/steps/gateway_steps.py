"""Steps about the gateway, with instances that follow a script."""

import asyncio
import json
import zlib

import behave

from features.support import caller
from features.support import instances
from honeyport.bundle import entries as bundle_entries
from honeyport.bundle import model
from honeyport.gateway import daemon as gateway_daemon
from honeyport import local
from honeyport.policy import draining
from honeyport.policy import repeats
from honeyport.settings import roles
from honeyport import supervisor
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

_NAMES = instances.NAMES
_TIMEOUT_MS = 1500
_OBJECTIVE_MS = 200
_GAP_MS = 100
_LEASE_MS = 60_000
_SOON_S = 0.5


class GatewayFixture:
    """One gateway, a few instances, and what a caller got."""

    def __init__(
        self, steps: list[str], extra: float = 1000.0, count: int = 3
    ) -> None:
        self.script = instances.Script(steps)
        self.instances = [
            instances.Instance(f'i-{number}', self.script)
            for number in range(1, count + 1)
        ]
        self.address = local.free_address()
        self.counters = metrics.Metrics()
        self.gateway = gateway_daemon.Gateway(
            roles.Router(
                name='g-1',
                domain='thu-duc',
                listen=self.address,
                peer_listen=local.free_address(),
                control=(local.free_address(),),
            ),
            _NAMES,
            draining.DrainTimes(refuse_after_s=0.2, stop_after_s=2.0),
            repeats.Allowance(extra=extra),
            self.counters,
        )
        self.tree = supervisor.Supervisor('g-1')
        self.version = 0
        self.number = 0

    async def start(self, kind: str) -> None:
        await self.start_unconfigured()
        self.make_ready(kind)

    async def start_unconfigured(self, opened=None) -> None:
        """Start everything; the gateway knows nothing yet."""
        for instance in self.instances:
            await instance.start()
        await self.gateway.start(self.tree, opened)

    def make_ready(self, kind: str) -> None:
        """Tell the gateway what it needs for serving."""
        self.configure(kind)
        self.renew_lease(_LEASE_MS)
        self.apply_instances()

    async def stop(self) -> None:
        await self.tree.stop()
        for instance in self.instances:
            await instance.stop()

    def renew_lease(self, lease_ms: int) -> None:
        now = asyncio.get_running_loop().time()
        self.gateway.state.renew_lease(now, lease_ms)

    def configure(
        self, kind: str, keys: tuple[str, ...] = (caller.KEY,)
    ) -> None:
        """Put a configuration with one route in force."""
        self.version += 1
        semantics, _, resumable = kind.partition(' ')
        route = model.Route(
            host=caller.HOST,
            prefix='/r/',
            semantics=semantics,
            weights={'app': 1},
            timeout_ms=_TIMEOUT_MS,
            attempts=2,
            objective_ms=_OBJECTIVE_MS,
            gap_ms=_GAP_MS,
            resumable=bool(resumable),
        )
        bundle = model.Bundle(
            version=self.version,
            signers=model.Signers(keys={}),
            services={'app': model.Service(kind=model.SERVICE)},
            backends={},
            accounts={'district': model.Account(keys=keys)},
            routes={'r': route},
        )
        entries = bundle_entries.to_entries(bundle)
        text = bundle_entries.canonical(entries)
        self.gateway.state.apply_config(
            pb.Config(
                version=self.version,
                digest=bundle_entries.digest(self.version, entries),
                snapshot=zlib.compress(text.encode()),
            )
        )

    def apply_instances(
        self, leaving: tuple[str, ...] = (), gone: tuple[str, ...] = ()
    ) -> None:
        """Tell the gateway which instances there are."""
        self.number += 1
        listed = pb.Instances(number=self.number)
        for one in self.instances:
            if one.name in gone:
                continue
            listed.instances.add(
                id=one.name,
                service='app',
                address=one.address,
                domain='thu-duc',
                leaving=one.name in leaving,
                slots=8,
                place=one.name,
            )
        self.gateway.state.apply_instances(listed)
        self.gateway.apply_state()


@behave.given('a gateway for {kind} requests whose instances {steps}')
def step_gateway(context, kind, steps):
    context.fixture = GatewayFixture([one.strip() for one in steps.split(';')])
    context.run(context.fixture.start(kind))
    context.to_stop.append(context.fixture.stop)


@behave.given(
    'a gateway without a retry budget for {kind} requests whose instances '
    '{steps}'
)
def step_gateway_without(context, kind, steps):
    named = [one.strip() for one in steps.split(';')]
    context.fixture = GatewayFixture(named, extra=0.0)
    context.run(context.fixture.start(kind))
    context.to_stop.append(context.fixture.stop)


@behave.given('a gateway that has just started')
def step_fresh_gateway(context):
    context.fixture = GatewayFixture(['answer'])
    context.run(context.fixture.start_unconfigured())
    context.to_stop.append(context.fixture.stop)


@behave.when(
    'a caller with a deadline of {limit:d} ms sends a request, and the lease '
    'comes after {later:d} ms'
)
def step_early(context, limit, later):
    async def send():
        loop = asyncio.get_running_loop()
        loop.call_later(later / 1000, context.fixture.make_ready, 'idempotent')
        began = loop.time()
        context.response = await send_request(
            context.fixture, deadline_ms=limit
        )
        context.took_s = loop.time() - began
        await asyncio.sleep(max(0.0, later / 1000 - context.took_s))

    context.run(send())


@behave.when('it has a configuration and a lease, but no list of instances')
def step_no_list(context):
    async def allow():
        context.fixture.configure('idempotent')
        context.fixture.renew_lease(_LEASE_MS)
        context.fixture.gateway.apply_state()

    context.run(allow())


@behave.when('the list arrives')
def step_list(context):
    async def tell():
        context.fixture.apply_instances()

    context.run(tell())


@behave.then('the gateway is not ready: {reason}')
def step_not_ready(context, reason):
    found = context.run(_not_ready(context.fixture))
    assert found == reason, found


@behave.then('the gateway is ready')
def step_is_ready(context):
    assert context.run(_not_ready(context.fixture)) == ''


@behave.when('a caller sends a request')
def step_send(context):
    context.response = context.run(send_request(context.fixture))


@behave.when('a caller sends {count:d} requests on one connection')
def step_send_many(context, count):
    context.responses = context.run(_ask_many(context.fixture, count))


@behave.when('a caller sends a request with the key "{key}"')
def step_send_key(context, key):
    context.response = context.run(send_request(context.fixture, key=key))


@behave.when('a caller asks for "{path}" on host "{host}"')
def step_send_path(context, path, host):
    context.response = context.run(
        send_request(context.fixture, path=path, host=host)
    )


@behave.when('a caller disconnects while its request runs')
def step_leave(context):
    context.run(_leave(context.fixture))


@behave.when('its lease ends')
def step_lease(context):
    state = context.fixture.gateway.state
    state._lease_until = float('-inf')


@behave.when('the key is revoked')
def step_revoke(context):
    context.fixture.configure('idempotent', keys=('another',))


@behave.when('the instances {names} are leaving')
def step_leaving(context, names):
    async def leave():
        context.fixture.apply_instances(tuple(names.split(' and ')))

    context.run(leave())


@behave.then('it gets {status:d}, and {count:d} requests arrived')
def step_got(context, status, count):
    arrived = len(context.fixture.script.arrivals)
    found = (context.response.status, arrived)
    assert found == (status, count), (found, context.response)


@behave.then('the answer is the complete answer of an instance')
def step_whole(context):
    assert (
        context.response.is_complete
        and context.response.body == instances.BODY
    )
    assert context.response.headers[_NAMES.digest] == 'd1'


@behave.then("it contains nothing of an instance's answer")
def step_own(context):
    assert _NAMES.digest not in context.response.headers, context.response
    assert instances.BODY not in context.response.body


@behave.then('its error has "ran" set to {said}')
def step_says(context, said):
    error = json.loads(context.response.body)['error']
    assert str(error['ran']) == said, error


@behave.then('it has a Retry-After')
def step_retry_after(context):
    assert float(context.response.headers['Retry-After']) > 0, context.response


@behave.then('it is told to reconnect elsewhere at once')
def step_elsewhere(context):
    assert float(context.response.headers['Retry-After']) < 0.1, (
        context.response
    )
    assert context.response.headers['Connection'] == 'close', context.response


@behave.then('its Retry-After is {first:d} to {last:d} ms')
def step_back_in(context, first, last):
    back_ms = float(context.response.headers['Retry-After']) * 1000
    assert first <= back_ms <= last, context.response


@behave.then('it is answered within {most:d} ms')
def step_within(context, most):
    assert context.took_s * 1000 <= most, context.took_s


@behave.then('all get the complete answer of an instance')
def step_all_whole(context):
    for got in context.responses:
        assert (got.status, got.body) == (200, instances.BODY), got


@behave.then('the caller has every event once, in order')
def step_events(context):
    lines = context.response.body.decode().splitlines()
    found = [line for line in lines if line.startswith('id:')]
    wanted = [f'id: {number}' for number in range(1, instances.EVENTS + 1)]
    assert context.response.is_complete and found == wanted, context.response


@behave.then('the caller sees that the answer is incomplete')
def step_not_whole(context):
    assert not context.response.is_complete, context.response


@behave.then('the instance sees the disconnect within half a second')
def step_seen(context):
    async def wait():
        arrivals = context.fixture.script.arrivals
        async with asyncio.timeout(_SOON_S):
            await arrivals[0].disconnected.wait()

    context.run(wait())


@behave.then('each arrival has the account and the instance, and no key')
def step_arrivals(context):
    for arrival in context.fixture.script.arrivals:
        assert arrival.headers[_NAMES.account] == 'district'
        named = arrival.headers[_NAMES.expected_instance]
        assert named == arrival.instance
        assert 'Authorization' not in arrival.headers
        left_ms = int(arrival.headers[_NAMES.deadline_ms])
        assert 0 < left_ms <= _TIMEOUT_MS, left_ms


@behave.then('only {name} got requests')
def step_only(context, name):
    found = {one.instance for one in context.fixture.script.arrivals}
    assert found == {name}, found


# -- the caller ----------------------------------------------------------


async def send_request(
    fixture: GatewayFixture,
    key: str = caller.KEY,
    path: str = '/r/x?a=1',
    host: str = caller.HOST,
    deadline_ms: int = 5000,
) -> caller.Response:
    reader, writer = await asyncio.open_connection(
        *roles.split(fixture.address)
    )
    try:
        writer.write(caller.request(key, path, host, deadline_ms=deadline_ms))
        return await caller.read(reader)
    finally:
        writer.close()


async def _ask_many(
    fixture: GatewayFixture, count: int
) -> list[caller.Response]:
    reader, writer = await asyncio.open_connection(
        *roles.split(fixture.address)
    )
    found = []
    for number in range(count):
        writer.write(
            caller.request(caller.KEY, '/r/x', caller.HOST, f'q-{number}')
        )
        found.append(await caller.read(reader))
    writer.close()
    return found


async def _leave(fixture: GatewayFixture) -> None:
    _, writer = await asyncio.open_connection(*roles.split(fixture.address))
    writer.write(caller.request(caller.KEY, '/r/x', caller.HOST))
    async with asyncio.timeout(_SOON_S):
        while not fixture.script.arrivals:
            await asyncio.sleep(0.01)
    writer.close()


async def _not_ready(fixture: GatewayFixture) -> str:
    return fixture.gateway.not_ready_reason


@behave.then('the instance that rejected a request got no more')
def step_left_alone(context):
    first, *others = context.fixture.script.arrivals
    assert others
    assert first.instance not in {one.instance for one in others}
