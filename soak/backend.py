"""Simulated backend servers with switchable failure modes."""

import asyncio
import contextlib
import random

from features.support import relay
from honeyport import local
from honeyport.settings import roles
from soak import records as soak_records

EVENTS = 16  # in a complete stream
FATAL_BODY = b'what no instance survives'  # crashes an instance
FATAL_PART_PREFIX = 'fa7a'  # of the ids of prompt parts that crash it
_EVENT_INTERVAL_S = 0.03
_SERVICE_TIME_S = 0.03
SMALL_SERVICE_TIME_S = 0.2  # of the service with few slots
_LARGE_REPEATS = 100_000
_SILENCE_CHECK_S = 0.01
_SLOWDOWN = 10.0  # factor of the failure mode 'slow'
_SHUTDOWN_HEADER = 'Server-Leaving: 1\r\n'
# From a response until its Retry-After has to be respected.
_RETRY_AFTER_GRACE_S = 0.5
_DRAIN_S = 3.0  # from the shutdown header until no request may arrive
FAILURE_MODES = ('errors', 'shed', 'mute', 'cut', 'reset', 'slow', 'extra')


def body_of(request_id: str, instance: str) -> bytes:
    """Return the response body of a request."""
    return f'{request_id} by {instance};'.encode() * 20


def large_body_of(request_id: str, instance: str) -> bytes:
    """Return the response body of a request for a large answer."""
    return f'{request_id} by {instance};'.encode() * _LARGE_REPEATS


def _find_fatal_part(prompt: str) -> str:
    """Return the part that crashes an instance, or ``''``.

    The last part of a prompt crashes none.
    """
    parts = [part.partition(':')[0] for part in prompt.split(',')[:-1]]
    return next(
        (part for part in parts if part.startswith(FATAL_PART_PREFIX)), ''
    )


def event_of(request_id: str, number: int, version: str) -> bytes:
    """Return one server-sent event of a software version."""
    return f'id: {number}\ndata: {request_id} {number} {version}\n\n'.encode()


class Instance:
    """An instance behind a relay that can cut and delay its connections.

    :param records: receives the arrivals and executions
    :param version: software version, which its events name
    :param slots: requests that it runs at once; others wait
    """

    def __init__(
        self,
        name: str,
        service: str,
        records: soak_records.Records,
        rng: random.Random,
        version: str,
        slots: int,
    ) -> None:
        self.name = name
        self.slots = slots
        self.service = service
        self.version = version
        self.state = 'ready'
        self.failure_mode = ''
        self.retry_after_s = 0.0  # if not 0, rejects all requests with it
        self.announces_shutdown = False  # by a header of each response
        self.crashed = False
        self._records = records
        self._random = rng
        self._server_address = local.free_address()
        self.relay = relay.Relay(self._server_address)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._unframed_streams: set[str] = set()
        self._closings = 0  # of its connections, by faults
        self._running = asyncio.Semaphore(slots)
        # Requests to the deadline by which their gateway leaves them.
        self._held: dict[str, float] = {}

    def to_entry(self) -> dict[str, object]:
        """Return the entry of the platform's list."""
        return {
            'id': self.name,
            'service': self.service,
            'address': self.relay.address,
            'zone': 'thu-duc',
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
        }

    async def start(self) -> None:
        """Start the server and its relay."""
        host, port = roles.split_address(self._server_address)
        self._server = await asyncio.start_server(self._serve, host, port)
        await self.relay.start()

    def close_connections(self) -> None:
        """Close the connections of all gateways."""
        self._record_closing()
        self.relay.close_connections()

    async def stop(self) -> None:
        """Stop the server and its relay and abort all connections."""
        self._record_closing()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await self.relay.stop()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(
            OSError,
            asyncio.CancelledError,  # at the end of the soak
            asyncio.IncompleteReadError,
            RuntimeError,
        ):
            while await self._handle_request(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Handle a request; return whether the connection stays open."""
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        request_line, *header_lines = head.strip().split('\r\n')
        headers = dict(
            header_line.split(': ', 1) for header_line in header_lines
        )
        length = int(headers.get('Content-Length', 0))
        body = await reader.readexactly(length)
        request_id = headers['Attempt-Id']
        if headers.get('Expected-Instance', self.name) != self.name:
            writer.write(
                self._format_response(request_id, '421 Misdirected', False)
            )
            return True
        now = asyncio.get_running_loop().time()
        self._records.arrivals.append(
            soak_records.RequestEvent(request_id, self.name, now)
        )
        if self.announces_shutdown:
            self._record_backoff(request_id, _DRAIN_S, float('inf'))
        if self.retry_after_s:
            self._record_backoff(
                request_id, _RETRY_AFTER_GRACE_S, self.retry_after_s
            )
        if self.failure_mode == 'shed' or self.retry_after_s:
            writer.write(self._format_response(request_id, '503 Full', False))
            return True
        self._records.executions[request_id].append(
            soak_records.RequestEvent(request_id, self.name, now)
        )
        fatal_part = _find_fatal_part(headers.get('Prompt-Prefix', ''))
        if fatal_part:
            self._records.part_arrivals[fatal_part].append(now)
            self._crash(self._records.part_crashes[fatal_part])
            return False
        if body == FATAL_BODY:
            self._records.fatal_request_ids.add(request_id)
            self._crash(self._records.crash_times)
            return False
        return await self._execute(request_line, headers, reader, writer)

    def _record_backoff(
        self, request_id: str, start_s: float, end_s: float
    ) -> None:
        now = asyncio.get_running_loop().time()
        self._records.backoff_windows.append(
            soak_records.BackoffWindow(
                request_id, self.name, now, start_s, end_s
            )
        )

    def _record_closing(self) -> None:
        """Record the streams whose end cannot be told from this closing."""
        self._closings += 1
        self._records.closed_without_framing |= self._unframed_streams
        self._unframed_streams.clear()

    def _crash(self, crash_times: list[float]) -> None:
        """Close all sockets as a crash would; the relay stays up."""
        self._record_closing()
        crash_times.append(asyncio.get_running_loop().time())
        self.crashed = True
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _execute(
        self,
        request_line: str,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request_id = headers['Attempt-Id']
        slowdown = _SLOWDOWN if self.failure_mode == 'slow' else 1.0
        await asyncio.sleep(_SERVICE_TIME_S * slowdown)
        await self._await_sending(request_id, reader)
        if self.failure_mode == 'mute':
            await reader.read(1)
            return False
        if self.failure_mode == 'reset':
            writer.transport.abort()
            return False
        if self.failure_mode == 'errors':
            writer.write(self._format_response(request_id, '500 Error', True))
            return True
        if self.service == 'desk':
            deadline_ms = float(headers['Deadline-Ms'])
            return await self._run_in_slot(
                request_id, deadline_ms / 1000, reader, writer
            )
        if '/report/' in request_line:
            writer.write(
                self._format_response(request_id, '200 OK', True, large=True)
            )
            await writer.drain()
            return True
        if '/chat/' in request_line or '/talk/' in request_line:
            first_event = int(headers.get('Last-Event-Id', 0)) + 1
            return await self._stream(
                request_id, first_event, slowdown, reader, writer
            )
        response = self._format_response(request_id, '200 OK', True)
        if self.failure_mode == 'cut':
            writer.write(response[:-7])
            return False
        if self.failure_mode == 'extra':
            response += self._format_response('of-another-0', '200 OK', True)
        writer.write(response)
        return True

    async def _await_sending(
        self, request_id: str, reader: asyncio.StreamReader
    ) -> None:
        """Wait while the instance is silent; record who ends the wait."""
        if self.failure_mode != 'silent':
            return
        loop = asyncio.get_running_loop()
        silence = soak_records.Silence(self.name, loop.time())
        closings = self._closings
        if not reader.at_eof():
            self._records.silences[request_id].append(silence)
        while self.failure_mode == 'silent':
            is_closed_by_fault = self._closings != closings
            if reader.at_eof() or is_closed_by_fault:
                silence.left_at = None if is_closed_by_fault else loop.time()
                raise ConnectionResetError
            await asyncio.sleep(_SILENCE_CHECK_S)

    async def _run_in_slot(
        self,
        request_id: str,
        remaining_s: float,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request as soon as a slot is free, unless its gateway leaves.

        :param remaining_s: until its deadline, in seconds
        """
        now = asyncio.get_running_loop().time()
        self._held[request_id] = now + remaining_s
        left = sum(deadline <= now for deadline in self._held.values())
        self._records.held_by_instances.append(
            soak_records.Held(
                self.name, now, len(self._held) - left, self.slots
            )
        )
        work = asyncio.create_task(self._work())
        closed = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait(
                (work, closed), return_when=asyncio.FIRST_COMPLETED
            )
            is_done = work.done()
        finally:
            del self._held[request_id]
            for task in (work, closed):
                task.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)
        if is_done:
            writer.write(self._format_response(request_id, '200 OK', True))
        return is_done

    async def _work(self) -> None:
        async with self._running:
            await asyncio.sleep(SMALL_SERVICE_TIME_S)

    async def _stream(
        self,
        request_id: str,
        first_event: int,
        slowdown: float,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        is_unframed = self.failure_mode == 'unframed'
        if is_unframed:
            self._unframed_streams.add(request_id)
        framing = '' if is_unframed else 'Transfer-Encoding: chunked\r\n'
        writer.write(
            (
                'HTTP/1.1 200 OK\r\n'
                f'Attempt-Id: {request_id}\r\n'
                f'Response-Signature: {self.name}.{request_id}\r\n'
                f'{_SHUTDOWN_HEADER if self.announces_shutdown else ""}'
                'Content-Type: text/event-stream\r\n'
                f'{framing}\r\n'
            ).encode()
        )
        cut_event = 0
        if self.failure_mode in ('cut', 'unframed'):
            cut_event = self._random.randint(1, EVENTS)
        for number in range(first_event, EVENTS + 1):
            await self._await_sending(request_id, reader)
            event = event_of(request_id, number, self.version)
            size = 5 if number == cut_event else len(event)
            if is_unframed:
                writer.write(event[:size])
            else:
                writer.write(f'{len(event):x}\r\n'.encode() + event[:size])
            if number == cut_event:
                self._unframed_streams.discard(request_id)
                return False
            writer.write(b'' if is_unframed else b'\r\n')
            await writer.drain()
            await asyncio.sleep(_EVENT_INTERVAL_S * slowdown)
        self._unframed_streams.discard(request_id)
        if not is_unframed:
            writer.write(b'0\r\n\r\n')
        return not is_unframed

    def _format_response(
        self,
        request_id: str,
        status: str,
        executed: bool,
        *,
        large: bool = False,
    ) -> bytes:
        make_body = large_body_of if large else body_of
        body = make_body(request_id, self.name) if executed else b''
        lines = [
            f'HTTP/1.1 {status}',
            f'Attempt-Id: {request_id}',
            f'Content-Length: {len(body)}',
        ]
        if executed:
            lines.append(f'Response-Signature: {self.name}.{request_id}')
        else:
            lines.append('Not-Executed: 1')
        if self.retry_after_s and not executed:
            lines.append(f'Retry-After: {self.retry_after_s:g}')
        if self.announces_shutdown:
            lines.append(_SHUTDOWN_HEADER.strip())
        return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
