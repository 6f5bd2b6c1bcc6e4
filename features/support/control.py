"""Queries to control replicas, and changes of the configuration."""

import grpc

from features.support import calls
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc

_REQUEST_TIMEOUT_S = 0.5
_ELECTION_TIMEOUT_S = 15.0


async def status(address):
    """Return a replica's status, or ``None`` if it does not answer."""
    channel = channels.connect(address)
    try:
        stub = rpc.OperatorStub(channel)
        return await stub.Status(
            pb.StatusRequest(), timeout=_REQUEST_TIMEOUT_S
        )
    except grpc.aio.AioRpcError:
        return None
    finally:
        await channel.close()


async def identify(address):
    """Return a replica's identity, or ``None`` if it does not answer."""
    channel = channels.connect(address)
    try:
        stub = rpc.ReplicaStub(channel)
        return await stub.Identify(
            pb.IdentifyRequest(), timeout=_REQUEST_TIMEOUT_S
        )
    except grpc.aio.AioRpcError:
        return None
    finally:
        await channel.close()


async def leader(world, excluded=()):
    """Wait for a leader; return its name.

    :param excluded: names of replicas that do not count
    """

    async def find_leader():
        for name, address in world.control.items():
            if name in excluded:
                continue
            reply = await status(address)
            if reply is not None and not reply.failure.code:
                return name
        return None

    return await world.wait_until(
        find_leader, 'a replica leads', _ELECTION_TIMEOUT_S
    )


def followers(world, leader_name):
    """Return the names of the replicas but the leader."""
    return [name for name in world.control if name != leader_name]


async def submit_change(world):
    """Submit the next change and wait until it is in force."""
    world.limits['queue'] = 100 + world.version
    await world.roll_out()


async def versions_in_force(world):
    """Return the version in force on each running router, by name."""
    versions = {}
    for name in world.routers:
        if world.processes[name].poll() is None:
            reply = await calls.send(
                world.address(name), calls.get_request('/metrics')
            )
            for line in reply.body.decode().splitlines():
                if line.startswith('honeyport_config_version '):
                    versions[name] = int(float(line.split()[1]))
    return versions


async def has_caught_up(world, name):
    """Return whether a replica answers, is admitted and has log entries."""
    identity = await identify(world.control[name])
    return identity is not None and identity.admitted and identity.last_index
