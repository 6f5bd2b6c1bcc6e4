"""Steps about the connections of a gateway to instances."""

import itertools
import socket
from unittest import mock

import behave
from tornado import tcpclient

from features.support import instances
from honeyport import errors
from honeyport.gateway import pool
from honeyport.policy import placement


@behave.given('a connection of a gateway to an instance')
def step_connection(context):
    context.instance = instances.Instance('i-1', instances.Script(['answer']))
    context.pool = pool.Pool()
    context.connection = context.run(_connect(context))

    async def stop():
        context.connection.close()
        await context.instance.stop()

    context.to_stop.append(stop)


@behave.then(
    'it is closed {first:g} to {last:g} seconds after data was not '
    'acknowledged'
)
def step_unacknowledged(context, first, last):
    timeout_s = _tcp_option(context, socket.TCP_USER_TIMEOUT) / 1000
    assert first < timeout_s <= last, timeout_s


@behave.then(
    'it is closed {first:g} to {last:g} seconds after probes were not answered'
)
def step_unanswered(context, first, last):
    timeout_s = _tcp_option(context, socket.TCP_USER_TIMEOUT) / 1000
    idle_s = _tcp_option(context, socket.TCP_KEEPIDLE)
    interval_s = _tcp_option(context, socket.TCP_KEEPINTVL)
    # With a user timeout, the number of probes has no effect.
    closed_s = next(
        probed_s
        for probed_s in itertools.count(idle_s + interval_s, interval_s)
        if probed_s >= timeout_s
    )
    assert first < closed_s <= last, closed_s


@behave.when(
    'a gateway connects to an instance that closes the connection at once'
)
def step_connect_closed(context):
    context.run(_connect_closed(context))


@behave.then('the connection failed, and the request was not sent')
def step_not_sent(context):
    assert isinstance(context.error, errors.NotSent), context.error
    assert context.observed == [context.error], context.observed


async def _connect_closed(context):
    context.observed = []
    connections = pool.Pool()
    connections.set_observer(lambda _, error: context.observed.append(error))
    client = connections._client

    async def connect_and_close(*arguments, **options):
        stream = await tcpclient.TCPClient.connect(
            client, *arguments, **options
        )
        stream.close()
        return stream

    instance = instances.Instance('i-1', instances.Script(['answer']))
    await instance.start()
    with mock.patch.object(client, 'connect', connect_and_close):
        try:
            await connections.acquire(_listed(instance))
        except errors.HoneyportError as error:
            context.error = error
    await instance.stop()


async def _connect(context):
    await context.instance.start()
    return await context.pool.acquire(_listed(context.instance))


def _listed(instance):
    return placement.Instance(
        instance.name, 'app', instance.address, 'thu-duc', False, 8, ''
    )


def _tcp_option(context, option):
    sock = context.connection.stream.socket
    return sock.getsockopt(socket.IPPROTO_TCP, option)
