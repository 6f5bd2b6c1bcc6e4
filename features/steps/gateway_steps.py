"""Steps for a gateway with scripted instances."""

import asyncio
import collections.abc
import json
import time
import typing
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
_NO_HEADERS: dict[str, str] = {}
_TIMEOUT_MS = 1500
_OBJECTIVE_MS = 200
_GAP_MS = 100
_LEASE_MS = 60_000
_EVENT_TIMEOUT_S = 0.5


class GatewayFixture:
    """A gateway and its scripted instances."""

    def __init__(
        self,
        steps: list[str],
        extra: float = 1000.0,
        count: int = 3,
        name: str = 'g-1',
        **settings: typing.Any,
    ) -> None:
        self.name = name
        self.slots = 8
        self.script = instances.Script(steps)
        self.instances = [
            instances.Instance(f'i-{number}', self.script)
            for number in range(1, count + 1)
        ]
        self.address = local.free_address()
        self.peer_address = local.free_address()
        self.regions: dict[str, str] = {}
        self.timeout_ms = _TIMEOUT_MS
        self.counters = metrics.Metrics()
        self.gateway = gateway_daemon.Gateway(
            roles.Router(
                name=name,
                domain='thu-duc',
                listen=self.address,
                peer_listen=self.peer_address,
                control=(local.free_address(),),
                regions=self.regions,
                **settings,
            ),
            _NAMES,
            draining.DrainTimes(refuse_after_s=0.2, stop_after_s=2.0),
            repeats.Allowance(extra=extra),
            self.counters,
        )
        self.tree = supervisor.Supervisor(name)
        self.kind = ''
        self.version = 0
        self.list_number = 0
        # Software versions on record at control, if it keeps a record.
        self.recorded: tuple[str, ...] = ()
        self.address_by_instance = {
            instance.name: instance.address for instance in self.instances
        }

    async def start(self, kind: str) -> None:
        await self.start_unconfigured()
        self.make_ready(kind)

    async def start_unconfigured(self, opened=None) -> None:
        """Start gateway and instances without configuration or lease."""
        for instance in self.instances:
            await instance.start()
        await self.gateway.start(self.tree, opened)

    def make_ready(self, kind: str) -> None:
        """Give the gateway a configuration, a lease and a list."""
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
        self,
        kind: str,
        keys: tuple[str, ...] = (caller.KEY,),
        account: str = 'district',
        regions: tuple[str, ...] = (),
        prefix: str = '/r/',
        service: str = 'app',
        limits: model.RequestLimits | None = None,
    ) -> None:
        """Apply a configuration with one route."""
        self.kind = kind
        self.version += 1
        semantics, _, resumable = kind.partition(' ')
        route = model.Route(
            host=caller.HOST,
            prefix=prefix,
            semantics=semantics,
            weights={service: 1},
            timeout_ms=self.timeout_ms,
            attempts=2,
            objective_ms=_OBJECTIVE_MS,
            gap_ms=_GAP_MS,
            resumable=bool(resumable),
            regions=regions,
        )
        bundle = model.Bundle(
            version=self.version,
            signers=model.Signers(keys={}),
            services={service: model.Service(kind=model.SERVICE)},
            backends={},
            accounts={account: model.Account(keys=keys)},
            routes={'r': route},
            requests=limits or model.RequestLimits(),
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
        """Apply a new list of instances.

        :param leaving: names of instances that are listed as leaving
        :param gone: names of instances that are not listed
        """
        self.list_number += 1
        instance_list = pb.Instances(number=self.list_number)
        if self.recorded:
            instance_list.versions.add(service='app', versions=self.recorded)
        for instance in self.instances:
            if instance.name in gone:
                continue
            instance_list.instances.add(
                id=instance.name,
                service='app',
                address=self.address_by_instance[instance.name],
                domain='thu-duc',
                leaving=instance.name in leaving,
                slots=self.slots,
                place=instance.name,
                version=instance.version,
            )
        self.gateway.state.apply_instances(instance_list)
        self.gateway.apply_state()


@behave.given('a gateway for {kind} requests whose instances {steps}')
def step_gateway(context, kind, steps):
    context.fixture = GatewayFixture(
        [step.strip() for step in steps.split(';')]
    )
    context.run(context.fixture.start(kind))
    context.to_stop.append(context.fixture.stop)


@behave.given(
    'a gateway without a retry budget for {kind} requests whose instances '
    '{steps}'
)
def step_gateway_without_budget(context, kind, steps):
    script_steps = [step.strip() for step in steps.split(';')]
    context.fixture = GatewayFixture(script_steps, extra=0.0)
    context.run(context.fixture.start(kind))
    context.to_stop.append(context.fixture.stop)


@behave.given('a gateway that has just started')
def step_started_gateway(context):
    context.fixture = GatewayFixture(['answer'])
    context.run(context.fixture.start_unconfigured())
    context.to_stop.append(context.fixture.stop)


@behave.when(
    'a caller with a deadline of {limit:d} ms sends a request, and the lease '
    'comes after {later:d} ms'
)
def step_send_before_lease(context, limit, later):
    async def send():
        loop = asyncio.get_running_loop()
        loop.call_later(later / 1000, context.fixture.make_ready, 'idempotent')
        started_at = loop.time()
        context.response = await send_request(
            context.fixture, deadline_ms=limit
        )
        context.took_s = loop.time() - started_at
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
def step_list_arrives(context):
    async def tell():
        context.fixture.apply_instances()

    context.run(tell())


@behave.then('the gateway is not ready: {reason}')
def step_not_ready(context, reason):
    actual = context.run(_not_ready(context.fixture))
    assert actual == reason, actual


@behave.then('the gateway is ready')
def step_is_ready(context):
    assert context.run(_not_ready(context.fixture)) == ''


@behave.when('a caller sends a request')
def step_send(context):
    started_at = time.monotonic()
    context.response = context.run(send_request(context.fixture))
    context.took_s = time.monotonic() - started_at


@behave.when('a caller sends {count:d} requests on one connection')
def step_send_many(context, count):
    context.responses = context.run(_send_requests(context.fixture, count))


@behave.when('a caller sends a request with the key "{key}"')
def step_send_key(context, key):
    context.response = context.run(send_request(context.fixture, key=key))


@behave.when('a caller asks for "{path}" on host "{host}"')
def step_send_path(context, path, host):
    context.response = context.run(
        send_request(context.fixture, path=path, host=host)
    )


@behave.when('a caller disconnects while its request runs')
def step_disconnect(context):
    context.run(_disconnect_early(context.fixture))


@behave.when('its lease ends')
def step_lease_ends(context):
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
    actual = (context.response.status, arrived)
    assert actual == (status, count), (actual, context.response)


@behave.then('the answer is the complete answer of an instance')
def step_complete(context):
    assert (
        context.response.is_complete
        and context.response.body == instances.BODY
    )
    assert context.response.headers[_NAMES.digest] == 'd1'


@behave.then('its status has no reason')
def step_no_reason(context):
    assert not context.response.reason, context.response


@behave.then("it contains nothing of an instance's answer")
def step_nothing_of_instance(context):
    assert _NAMES.digest not in context.response.headers, context.response
    assert instances.BODY not in context.response.body


@behave.then('its error has "ran" set to {ran}')
def step_reports_ran(context, ran):
    error = json.loads(context.response.body)['error']
    assert str(error['ran']) == ran, error


@behave.then('it has a Retry-After')
def step_has_retry_after(context):
    assert float(context.response.headers['Retry-After']) > 0, context.response


@behave.then('its answer closes the connection and allows a retry at once')
def step_retry_at_once(context):
    assert float(context.response.headers['Retry-After']) < 0.1, (
        context.response
    )
    assert context.response.headers['Connection'] == 'close', context.response


@behave.then('its Retry-After is {first:d} to {last:d} ms')
def step_retry_after_range(context, first, last):
    retry_after_ms = float(context.response.headers['Retry-After']) * 1000
    assert first <= retry_after_ms <= last, context.response


@behave.then('it is answered within {limit_ms:d} ms')
def step_answered_within(context, limit_ms):
    assert context.took_s * 1000 <= limit_ms, context.took_s


@behave.then('all get the complete answer of an instance')
def step_all_complete(context):
    for response in context.responses:
        assert (response.status, response.body) == (200, instances.BODY), (
            response
        )


@behave.then('the caller has every event once, in order')
def step_events(context):
    lines = context.response.body.decode().splitlines()
    event_ids = [line for line in lines if line.startswith('id:')]
    expected = [f'id: {number}' for number in range(1, instances.EVENTS + 1)]
    assert context.response.is_complete and event_ids == expected, (
        context.response
    )


@behave.then('the caller sees that the answer is incomplete')
def step_incomplete(context):
    assert not context.response.is_complete, context.response


@behave.then('the instance sees the disconnect within half a second')
def step_disconnect_seen(context):
    async def wait():
        arrivals = context.fixture.script.arrivals
        async with asyncio.timeout(_EVENT_TIMEOUT_S):
            await arrivals[0].disconnected.wait()

    context.run(wait())


@behave.then('each arrival has the account and the instance, and no key')
def step_arrivals(context):
    for arrival in context.fixture.script.arrivals:
        assert arrival.headers[_NAMES.account] == 'district'
        expected_instance = arrival.headers[_NAMES.expected_instance]
        assert expected_instance == arrival.instance
        assert 'Authorization' not in arrival.headers
        remaining_ms = int(arrival.headers[_NAMES.deadline_ms])
        assert 0 < remaining_ms <= _TIMEOUT_MS, remaining_ms


@behave.then('only {name} got requests')
def step_only_instance(context, name):
    instance_names = {
        arrival.instance for arrival in context.fixture.script.arrivals
    }
    assert instance_names == {name}, instance_names


# -- the caller ----------------------------------------------------------


async def send_request(
    fixture: GatewayFixture,
    key: str = caller.KEY,
    path: str = '/r/x?a=1',
    host: str = caller.HOST,
    deadline_ms: int = 5000,
    request_id: str = 'q-1',
    headers: collections.abc.Mapping[str, str] = _NO_HEADERS,
) -> caller.Response:
    reader, writer = await asyncio.open_connection(
        *roles.split_address(fixture.address)
    )
    try:
        writer.write(
            caller.request(
                key,
                path,
                host,
                request_id,
                deadline_ms=deadline_ms,
                headers=headers,
            )
        )
        return await caller.read(reader)
    finally:
        writer.close()


async def _send_requests(
    fixture: GatewayFixture, count: int
) -> list[caller.Response]:
    reader, writer = await asyncio.open_connection(
        *roles.split_address(fixture.address)
    )
    responses = []
    for number in range(count):
        writer.write(
            caller.request(caller.KEY, '/r/x', caller.HOST, f'q-{number}')
        )
        responses.append(await caller.read(reader))
    writer.close()
    return responses


async def _disconnect_early(fixture: GatewayFixture) -> None:
    _, writer = await asyncio.open_connection(
        *roles.split_address(fixture.address)
    )
    writer.write(caller.request(caller.KEY, '/r/x', caller.HOST))
    async with asyncio.timeout(_EVENT_TIMEOUT_S):
        while not fixture.script.arrivals:
            await asyncio.sleep(0.01)
    writer.close()


async def _not_ready(fixture: GatewayFixture) -> str:
    return fixture.gateway.not_ready_reason


@behave.then('the instance that rejected a request got no more')
def step_rejecting_avoided(context):
    first, *later = context.fixture.script.arrivals
    assert later
    assert first.instance not in {arrival.instance for arrival in later}
