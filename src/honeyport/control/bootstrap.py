"""Bootstrap of the control group by replicas whose disks are all empty."""

import asyncio
import collections.abc

from honeyport.control import durable_log
from honeyport.control import leadership
from honeyport.control import membership
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

GetLink = collections.abc.Callable[[pb.Replicant], leadership.Link]


async def try_bootstrap(
    name: str, log: durable_log.DurableLog, get_link: GetLink, pause_s: float
) -> bool:
    """Bootstrap the group unless it exists already.

    The group is bootstrapped only if all initial members answer and none
    has log entries. Otherwise this replica may have lost its disk; a vote
    of it could then undo acknowledged entries.

    :param get_link: returns the link to a member
    :param pause_s: pause between two rounds of requests, in seconds
    :returns: whether this replica took part in the bootstrap
    """
    initial_members = log.initial_members
    if membership.find(initial_members, name) is None:
        logs.emit(events.UNADMITTED, replica=name)
        return False
    peers = [
        member for member in initial_members.replicas if member.name != name
    ]
    while not log.journal.last_index:
        answers = await asyncio.gather(
            *(_identify(get_link(peer)) for peer in peers)
        )
        if any(answer and answer.last_index for answer in answers):
            logs.emit(events.UNADMITTED, replica=name)
            return False
        if all(answers):
            await log.mark_founded()
            logs.emit(events.FOUNDED, replica=name)
            return True
        await asyncio.sleep(pause_s)
    return False


async def _identify(link: leadership.Link) -> pb.IdentifyAnswer | None:
    try:
        return await link.identify()
    except OSError:
        return None
