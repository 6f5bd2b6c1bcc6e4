"""Encoding of calls and answer frames as messages between routers."""

import asyncio

from honeyport import errors
from honeyport import exchange
from honeyport.wire import honeyport_pb2 as pb


def encode_call(call: exchange.Call, backend: str) -> pb.Open:
    """Return the message that opens a stream for a call."""
    return pb.Open(
        request_id=call.request_id,
        attempt=call.attempt,
        backend=backend,
        service=call.service,
        account=call.account,
        chat=call.chat,
        method=call.method,
        path=call.path,
        headers=_encode_headers(call.headers),
        body=call.body,
        deadline_s=call.remaining_s(),
        idempotency_key=call.key,
        resume_after=call.resume_after + 1,
        traceparent=call.traceparent,
        priority=call.priority,
        patience_s=call.queue_timeout_s,
        linger=call.linger,
        origin=call.origin,
        route=call.route,
        config_version=call.config_version,
        offers=call.offers,
        tried=call.tried,
        version=call.version,
    )


def decode_call(message: pb.Open) -> exchange.Call:
    """Return the call that a message opens a stream for.

    Its deadline counts from now, so that clocks need not agree.
    """
    now = asyncio.get_running_loop().time()
    return exchange.Call(
        request_id=message.request_id,
        attempt=message.attempt,
        service=message.service,
        account=message.account,
        chat=message.chat,
        method=message.method,
        path=message.path,
        headers=_decode_headers(message.headers),
        body=message.body,
        deadline=now + message.deadline_s,
        key=message.idempotency_key,
        resume_after=message.resume_after - 1,
        traceparent=message.traceparent,
        priority=message.priority,
        queue_timeout_s=message.patience_s,
        linger=message.linger,
        origin=message.origin,
        route=message.route,
        config_version=message.config_version,
        offers=message.offers,
        tried=tuple(message.tried),
        version=message.version if message.HasField('version') else None,
    )


def encode_frame(stream: int, frame: exchange.Frame) -> pb.Frame:
    """Return the message for a frame of an answer."""
    if isinstance(frame, exchange.Data):
        data = pb.Data(number=frame.number, payload=frame.payload)
        return pb.Frame(stream=stream, data=data)
    if isinstance(frame, exchange.Head):
        head = pb.Head(
            status=frame.status,
            headers=_encode_headers(frame.headers),
            backend=frame.backend,
            running=frame.running,
            version=frame.version,
        )
        return pb.Frame(stream=stream, head=head)
    end = pb.End(frames=frame.frames, length=frame.length)
    return pb.Frame(stream=stream, end=end)


def decode_frame(message: pb.Frame) -> exchange.Frame:
    """Return the frame in a message.

    :raises errors.HoneyportError: if the message reports that the call failed
    """
    body_type = message.WhichOneof('body')
    if body_type == 'data':
        return exchange.Data(message.data.number, message.data.payload)
    if body_type == 'head':
        head = message.head
        return exchange.Head(
            head.status,
            _decode_headers(head.headers),
            head.backend,
            running=head.running,
            version=head.version,
        )
    if body_type == 'end':
        return exchange.End(message.end.frames, message.end.length)
    raise decode_failure(message.failure)


def encode_failure(stream: int, error: errors.HoneyportError) -> pb.Frame:
    """Return the message that ends a stream with an error."""
    failure = pb.Failure(
        code=error.code,
        detail=error.detail,
        retry_after_s=error.retry_after or 0.0,
        settled=error.settled,
    )
    return pb.Frame(stream=stream, failure=failure)


def decode_failure(message: pb.Failure) -> errors.HoneyportError:
    """Return the error in a message."""
    error = errors.by_code(message.code)(
        message.detail, retry_after=message.retry_after_s or None
    )
    error.settled = message.settled
    return error


def _encode_headers(headers: exchange.Headers) -> list[pb.Header]:
    return [pb.Header(name=name, value=value) for name, value in headers]


def _decode_headers(headers: object) -> exchange.Headers:
    return tuple((header.name, header.value) for header in headers)
