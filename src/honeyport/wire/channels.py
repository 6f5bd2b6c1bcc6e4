"""gRPC channels and servers between honeyport processes.

gRPC's own retries are disabled: the callers decide what may be resent.
"""

import grpc

_MESSAGE_MAX_BYTES = 64 * 1024 * 1024
_COMMON_OPTIONS = (
    ('grpc.enable_retries', 0),
    ('grpc.max_receive_message_length', _MESSAGE_MAX_BYTES),
    ('grpc.max_send_message_length', _MESSAGE_MAX_BYTES),
    ('grpc.use_local_subchannel_pool', 1),
)
_CLIENT_OPTIONS = (
    *_COMMON_OPTIONS,
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.keepalive_time_ms', 5000),
    ('grpc.keepalive_timeout_ms', 3000),
    ('grpc.enable_http_proxy', 0),
)
_SERVER_OPTIONS = (
    *_COMMON_OPTIONS,
    ('grpc.so_reuseport', 0),
    ('grpc.http2.min_ping_interval_without_data_ms', 2000),
    ('grpc.keepalive_permit_without_calls', 1),
)


def connect(address: str) -> grpc.aio.Channel:
    """Return a channel to ``IP:PORT``, connected on first use."""
    return grpc.aio.insecure_channel(address, options=_CLIENT_OPTIONS)


def server() -> grpc.aio.Server:
    """Return a server to which services can be added."""
    return grpc.aio.server(options=_SERVER_OPTIONS)
