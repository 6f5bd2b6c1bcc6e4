"""What an empty disk means: the founding, or a lost disk."""

import asyncio
import collections.abc

from honeyport.control import durable
from honeyport.control import leadership
from honeyport.control import membership
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

Reach = collections.abc.Callable[[pb.Replicant], leadership.Link]


async def decide(
    name: str, log: durable.DurableLog, reach: Reach, pause_s: float
) -> bool:
    """Take part in the founding, if it is one; return whether it was.

    It is the founding only if every founding member answers and none has
    a past. A replica that lost its disk must not vote with an empty one:
    what it once acknowledged could be undone.

    :param pause_s: between two rounds of asking
    """
    founding = log.founding
    if membership.find(founding, name) is None:
        logs.emit(events.UNADMITTED, replica=name)
        return False
    peers = [member for member in founding.replicas if member.name != name]
    while not log.journal.last_index:
        answers = await asyncio.gather(
            *(_identify(reach(peer)) for peer in peers)
        )
        if any(answer and answer.last_index for answer in answers):
            logs.emit(events.UNADMITTED, replica=name)
            return False
        if all(answers):
            await log.found()
            logs.emit(events.FOUNDED, replica=name)
            return True
        await asyncio.sleep(pause_s)
    return False


async def _identify(link: leadership.Link) -> pb.IdentifyAnswer | None:
    try:
        return await link.identify()
    except OSError:
        return None
