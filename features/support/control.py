"""Asking control replicas, and changing the configuration."""

import grpc

from features.support import calls
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc

_ASK_S = 0.5
_LEADER_S = 15.0


async def status(address):
    """Ask one replica for its status; ``None`` if it does not answer."""
    channel = channels.connect(address)
    try:
        stub = rpc.OperatorStub(channel)
        return await stub.Status(pb.StatusRequest(), timeout=_ASK_S)
    except grpc.aio.AioRpcError:
        return None
    finally:
        await channel.close()


async def identify(address):
    """Ask a replica which disk it has."""
    channel = channels.connect(address)
    try:
        stub = rpc.ReplicaStub(channel)
        return await stub.Identify(pb.IdentifyRequest(), timeout=_ASK_S)
    except grpc.aio.AioRpcError:
        return None
    finally:
        await channel.close()


async def leader(world, but=()):
    """Return the name of the replica that leads, when there is one."""

    async def find():
        for name, address in world.control.items():
            if name in but:
                continue
            answer = await status(address)
            if answer is not None and not answer.failure.code:
                return name
        return None

    return await world.wait_until(find, 'a replica leads', _LEADER_S)


def followers(world, leading):
    """Return the names of the other replicas."""
    return [name for name in world.control if name != leading]


async def submit_change(world):
    """Make the next change and wait until it is in force."""
    world.limits['queue'] = 100 + world.version
    await world.roll_out()


async def versions_in_force(world):
    """Return the version in force on each running router."""
    found = {}
    for name in world.routers:
        if world.processes[name].poll() is None:
            reply = await calls.send(
                world.address(name), calls.get_request('/metrics')
            )
            for line in reply.body.decode().splitlines():
                if line.startswith('honeyport_config_version '):
                    found[name] = int(float(line.split()[1]))
    return found


async def has_caught_up(world, name):
    """Whether a replica answers and may vote."""
    answer = await identify(world.control[name])
    return answer is not None and answer.admitted and answer.last_index
