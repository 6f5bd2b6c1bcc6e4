"""Steps about a router whose backend servers break off inside a head."""

import asyncio
import json
import zlib

import attrs
import behave

from features.support import calls
from features.support import cut_heads
from honeyport.backend import http
from honeyport.bundle import entries as bundle_entries
from honeyport.bundle import model
from honeyport import local
from honeyport.router import daemon
from honeyport.settings import roles
from honeyport import supervisor
from honeyport.wire import honeyport_pb2 as pb

_REQUEST_ID = 'q-1'
_LEASE_MS = 60_000
_READY_TIMEOUT_S = 5.0
# So many that one of them is not down after the last requests.
_SERVICES = tuple(f'field-app-{number}' for number in range(1, 9))
_PROBE_MS = 50
# Until the events of a stream that is cut have been passed on.
_PASSED_ON_S = 0.05
_TIMEOUT_S = 5.0
_BODY = b'the whole answer'
_JSON = 'Content-Type: application/json'
_PROBE_ANSWERS = {
    b'/healthz': b'',
    b'/cache/events': json.dumps({'events': []}).encode(),
    b'/load': json.dumps({'running': 0, 'waiting': 0, 'age_s': 0}).encode(),
}
_STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_EVENTS = [b'id: %d\ndata: token\n\n' % number for number in (1, 2, 3)]
# A key with a time in the past: the first 48 bits of a UUIDv7.
_KEY = '01890000-0000-7000-8000-{:012d}'


def _sized(status, body, *headers):
    lines = [f'HTTP/1.1 {status}', *headers, f'Content-Length: {len(body)}']
    return '\r\n'.join([*lines, '', '']).encode() + body


def _chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


# Answers of engines to the resumption of a stream, by name.
_NO_STREAMS = {
    'a whole body': _sized('200 OK', b'{}', _JSON),
    'an error': _sized('500 Internal Server Error', b'{}', _JSON),
    'not found': _sized('404 Not Found', b'{}', _JSON),
    'no content': b'HTTP/1.1 204 No Content\r\n\r\n',
}


class _Server:
    """A backend server that writes prepared answers.

    :ivar answers: for the next requests of all servers: a step of an answer
        that is cut, or bytes
    :ivar paths: those of the requests of all servers
    """

    def __init__(self, answers, paths):
        self.address = local.free_address()
        self.answers = answers
        self.paths = paths
        self._server = None

    async def start(self):
        """Accept connections."""
        host, port = roles.split_address(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self):
        """Accept none any more."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                _, _, rest = head.partition(b'Content-Length: ')
                await reader.readexactly(int(rest.split(b'\r\n')[0] or 0))
                path = head.split(b' ')[1]
                answer = _PROBE_ANSWERS.get(path.partition(b'?')[0])
                if answer is not None:
                    writer.write(_sized('200 OK', answer))
                    continue
                self.paths.append(path)
                answer = self.answers.pop(0)
                if isinstance(answer, str):
                    await cut_heads.run_step(answer, _REQUEST_ID, writer)
                    return
                writer.write(answer)
                if answer.startswith(_STREAM_HEAD):
                    await asyncio.sleep(_PASSED_ON_S)
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class _Routers:
    """Two routers; the second one owns all backend servers."""

    def __init__(self):
        self.answers = []
        self.paths = []
        self.servers = {
            name: _Server(self.answers, self.paths)
            for name in (*_SERVICES, 'draft-llm-1')
        }
        self.settings = [
            roles.Router(
                name=f'r-{number}',
                domain=domain,
                listen=local.free_address(),
                peer_listen=local.free_address(),
                control=(local.free_address(),),
            )
            for number, domain in ((1, 'thu-duc'), (2, 'tan-binh'))
        ]
        self.routers = []
        self.tree = supervisor.Supervisor('routers')

    async def start(self):
        """Start routers and backend servers; wait until all are owned."""
        for server in self.servers.values():
            await server.start()
        for settings in self.settings:
            self.routers.append(await daemon.start(settings, self.tree))
        for router in self.routers:
            self._configure(router)
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(0.05)
        self.paths.clear()

    async def stop(self):
        """Stop all."""
        for router in self.routers:
            # Nobody else takes over.
            router.state.apply_view(pb.View(number=2))
        await self.tree.stop()
        for server in self.servers.values():
            await server.stop()

    async def send(self, number, request):
        """Send a request to a router."""
        async with asyncio.timeout(_TIMEOUT_S):
            return await calls.send(self.settings[number - 1].listen, request)

    def _configure(self, router):
        bundle = model.Bundle(
            version=1,
            signers=model.Signers(keys={}),
            services={
                'field-app': model.Service(kind=model.SERVICE),
                'draft-llm': model.Service(kind=model.ENGINE),
            },
            backends={
                name: model.Backend(
                    service=name.rpartition('-')[0],
                    address=server.address,
                    domain='tan-binh',
                )
                for name, server in self.servers.items()
            },
            accounts={'district-1': model.Account()},
            timing=model.Timing(probe_ms=_PROBE_MS),
            routes={},
        )
        entries = bundle_entries.to_entries(bundle)
        state = router.state
        state.apply_config(
            pb.Config(
                version=1,
                digest=bundle_entries.digest(1, entries),
                snapshot=zlib.compress(
                    bundle_entries.canonical(entries).encode()
                ),
            )
        )
        state.renew_lease(asyncio.get_running_loop().time(), _LEASE_MS)
        view = pb.View(number=1)
        for settings in self.settings:
            view.members.add(
                router=settings.name,
                domain=settings.domain,
                address=settings.listen,
                peer_address=settings.peer_listen,
            )
        state.apply_view(view)
        state.apply_loads(pb.Loads(settled=1, settled_version=1))
        router._on_view(True)
        router._on_message()
        router._session.claim = _grant

    async def _is_ready(self):
        for name in self.servers:
            self.answers[:] = [_sized('200 OK', b'')]
            request = _request(name.rpartition('-')[0], '/ping', name)
            reply = await self.send(1, request)
            if reply.status != 200:
                return False
        return True


async def _grant(request):
    """Grant and record all claims."""
    return pb.ClaimAnswer(state=pb.ClaimAnswer.GRANTED)


def _request(service, path, server='', key=''):
    headers = [
        ('Honeyport-Account', 'district-1'),
        ('Honeyport-Deadline', '3'),
    ]
    if server:
        headers.append(('Honeyport-Placement', server))
    if key:
        headers.append(('Idempotency-Key', key))
    if service == 'draft-llm':
        return calls.chat_request(path)
    return http.Request(
        method='GET', path=f'/services/{service}{path}', headers=headers
    )


@attrs.define
class _Case:
    """A request, the reply to it, and the paths that arrived."""

    name: str
    position: int
    end: str
    key: str
    reply: calls.Reply
    paths: list

    @property
    def is_answered(self):
        """Whether the cut head is a whole answer."""
        kind = cut_heads.KINDS[self.name]
        return kind.is_answer(_REQUEST_ID, self.position, self.end)


@behave.given('two routers, of which the second one owns all backend servers')
def step_routers(context):
    context.routers = _Routers()
    context.to_stop.append(context.routers.stop)
    context.run(context.routers.start())


@behave.when(
    'a service behind router {number:d} cuts an answer {name} at each byte of '
    'its head'
)
def step_cut(context, number, name):
    context.run(_send_all(context, number, name))


async def _send_all(context, number, name):
    context.cases = []
    routers = context.routers
    count = 0
    for end in cut_heads.ENDS:
        for position in cut_heads.positions(name, _REQUEST_ID, end):
            for key in ('', _KEY):
                count += 1
                routers.paths.clear()
                routers.answers[:] = [
                    cut_heads.step(name, position, end),
                    _sized('200 OK', _BODY),
                ]
                request = _request(
                    'field-app', f'/{count}', '', key and key.format(count)
                )
                reply = await routers.send(number, request)
                context.cases.append(
                    _Case(name, position, end, key, reply, [*routers.paths])
                )


@behave.then('each caller of a router gets a whole answer, or a failure')
def step_whole_or_failure(context):
    assert context.cases
    for case in context.cases:
        status = case.reply.status
        if case.is_answered and case.end == cut_heads.CLOSED:
            kind = cut_heads.KINDS[case.name]
            assert kind.status.startswith(str(status)), case
            assert not case.reply.body, case
        elif case.is_answered and status < 400:
            assert not case.reply.body, case
        elif status == 200:
            assert not case.key and not case.is_answered, case
            assert not case.reply.is_interrupted, case
            assert case.reply.body == _BODY, case
        else:
            assert status >= 400 and case.reply.error, case
    assert any(case.reply.body == _BODY for case in context.cases)


@behave.then('only requests without a key were repeated by the router')
def step_not_repeated(context):
    for case in context.cases:
        assert len(case.paths) <= (1 if case.key else 2), case


@behave.when(
    'the stream of an engine behind router {number:d} breaks off, and its '
    'resumption is answered with {name}'
)
def step_no_stream(context, number, name):
    routers = context.routers
    start = _STREAM_HEAD + b''.join(map(_chunk, _EVENTS))
    routers.answers[:] = [start, *[_NO_STREAMS[name]] * 20]
    routers.paths.clear()
    request = calls.chat_request('chat-1', Honeyport_Deadline='3')
    context.reply = context.run(routers.send(number, request))


@behave.when(
    'the stream of a service behind router {number:d} breaks off, and the '
    'service would begin it again'
)
def step_begin_again(context, number):
    routers = context.routers
    events = b''.join(map(_chunk, _EVENTS))
    routers.answers[:] = [_STREAM_HEAD + events] * 20
    routers.paths.clear()
    request = _request('field-app', '/events')
    context.reply = context.run(routers.send(number, request))


@behave.then('the caller of the router gets no event twice')
def step_no_event_twice(context):
    events, _, _ = context.reply.body.partition(b'event: error')
    assert events == b''.join(_EVENTS), context.reply


@behave.then('the caller of the router does not take the stream for whole')
def step_not_whole(context):
    body = context.reply.body
    assert body.startswith(b''.join(_EVENTS)), context.reply
    assert b': whole bytes=' not in body, body
    assert b'\n{}' not in body, body
    assert b'event: error' in body, body
