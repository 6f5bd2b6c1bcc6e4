"""``honeyport local``: a small site in one process, with example requests."""

import asyncio
import contextlib
import json
import pathlib
import socket
import tempfile
import typing

import attrs

from honeyport.bundle import entries
from honeyport.bundle import model
from honeyport.bundle import signing
from honeyport import client
from honeyport import clock
from honeyport.control import daemon as control_daemon
from honeyport.router import daemon as router_daemon
from honeyport.settings import roles
from honeyport.standin import engine_api
from honeyport.standin import service
from honeyport import supervisor
from honeyport.telemetry import log as logs

_DOMAIN = 'thu-duc'
_ACCOUNT = 'try-out'
_START_TIMEOUT_S = 20.0
# Loopback address of all servers. Parallel test processes set their own.
HOST = '127.0.0.2'
_ALLOCATED_ADDRESSES: set[str] = set()
_EXAMPLE_MESSAGES = [
    {'role': 'user', 'content': 'The swing has a cracked bolt.'}
]


@attrs.frozen
class Site:
    """The addresses (``IP:PORT``) of a local site."""

    router: str
    engines: tuple[str, ...]
    service: str


def run(keep: bool = False) -> None:
    """Start a site, send two example requests to it, and stop it.

    :param keep: keep serving until interrupted
    """
    logs.configure('warning', instance='local')
    with tempfile.TemporaryDirectory(prefix='honeyport-') as folder:
        with contextlib.suppress(KeyboardInterrupt):
            with asyncio.Runner(loop_factory=clock.new_loop) as runner:
                runner.run(_run(pathlib.Path(folder), keep))


async def _run(folder: pathlib.Path, keep: bool) -> None:
    tree = supervisor.Supervisor('local')
    try:
        site = await start(folder, tree)
        print(f'router on http://{site.router}')
        await send_examples(site)
        if keep:
            await asyncio.Event().wait()
    finally:
        await tree.stop()
    print('stopped')


async def start(folder: pathlib.Path, tree: supervisor.Supervisor) -> Site:
    """Start a control replica, a router and three backend servers.

    :param folder: folder for keys and data
    :returns: the site, whose router is ready to serve
    :raises TimeoutError: if the router does not get ready in time
    """
    site = Site(
        free_address(), (free_address(), free_address()), free_address()
    )
    control = free_address()
    for number, address in enumerate(site.engines, 1):
        await engine_api.start(
            roles.Engine(
                name=f'draft-llm-{number}', domain=_DOMAIN, listen=address
            ),
            tree,
        )
    await service.start(
        roles.Service(name='field-app-1', domain=_DOMAIN, listen=site.service),
        tree,
    )
    public_key = signing.write_new_key(str(folder), 'local')
    signed = _bundle(site, public_key)
    signed = signing.sign(signed, str(folder / 'local.pem'))
    seed_path = folder / 'bundle.json'
    seed_path.write_text(signed.to_json(), encoding='utf-8')
    await control_daemon.start(
        roles.Control(
            name='control',
            domain=_DOMAIN,
            listen=control,
            data=str(folder / 'data'),
            members={'control': control},
            signers={'local': public_key},
            seed=str(seed_path),
            election_ms=100,
            heartbeat_ms=30,
        ),
        tree,
    )
    router = await router_daemon.start(
        roles.Router(
            name='router',
            domain=_DOMAIN,
            listen=site.router,
            peer_listen=free_address(),
            control=(control,),
        ),
        tree,
    )
    async with asyncio.timeout(_START_TIMEOUT_S):
        while not router.state.version or router.state.lease_left <= 0:
            await asyncio.sleep(0.02)
    return site


async def send_examples(site: Site) -> None:
    """Send a chat and a report; print the answers and their instances."""
    caller = client.Client([site.router], _ACCOUNT)
    try:
        print('chat:')
        body = b''
        async for payload in caller.chat(
            'draft-llm', 'yard-17', _EXAMPLE_MESSAGES
        ):
            body += payload
        print('  ' + _join_tokens(body))
        print(f'  served by {caller.placement("draft-llm", "yard-17")}')
        print('filing:')
        response = await caller.call(
            'field-app', 'POST', '/reports', b'{"yard": 17}'
        )
        print(f'  {response.status} {response.body.decode()}')
    finally:
        caller.close()


def free_address() -> str:
    """Return ``IP:PORT`` of a free port on ``HOST``, each only once.

    ``HOST`` is not 127.0.0.1, whose ports outgoing connections use.
    """
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            address = f'{HOST}:{probe.getsockname()[1]}'
        if address not in _ALLOCATED_ADDRESSES:
            _ALLOCATED_ADDRESSES.add(address)
            return address


def _bundle(site: Site, public_key: str) -> signing.Signed:
    backends: dict[str, typing.Any] = {
        f'draft-llm-{number}': model.Backend(
            service='draft-llm', address=address, domain=_DOMAIN
        )
        for number, address in enumerate(site.engines, 1)
    }
    backends['field-app-1'] = model.Backend(
        service='field-app', address=site.service, domain=_DOMAIN
    )
    bundle = model.Bundle(
        version=1,
        signers=model.Signers(keys={'local': public_key}),
        models={'draft': model.Model(version='1')},
        services={
            'draft-llm': model.Service(kind=model.ENGINE, model='draft'),
            'field-app': model.Service(kind=model.SERVICE),
        },
        backends=backends,
        accounts={_ACCOUNT: model.Account()},
        timing=model.Timing(report_ms=100, lease_ms=1000),
    )
    return signing.Signed(1, entries.to_entries(bundle), {})


def _join_tokens(stream: bytes) -> str:
    """Return the text of a streamed chat answer.

    :param stream: the server-sent events
    """
    tokens = []
    for line in stream.decode().splitlines():
        if line.startswith('data: {'):
            chunk = json.loads(line[len('data: ') :])
            tokens.append(chunk['choices'][0]['delta']['content'])
    return ' '.join(tokens)
