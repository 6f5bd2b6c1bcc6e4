"""Asking all voters for their votes, and counting them."""

import asyncio
import collections.abc

import attrs

from honeyport.control import leadership
from honeyport.control import membership
from honeyport.wire import honeyport_pb2 as pb

Reach = collections.abc.Callable[[pb.Replicant], leadership.Link]


@attrs.frozen
class Count:
    """What a round of asking brought.

    :ivar won: whether a quorum gave its vote
    :ivar unopposed: whether each voter gave its vote or said that it may
        not vote, as with a lost disk; then none of them can lead
    :ivar term: the highest term that a voter has reached
    """

    won: bool
    unopposed: bool
    term: int


class _Tally:
    """The answers so far, our own vote included.

    :param name: who asks
    :param needs_all: whether a single voter's silence decides against us
    """

    def __init__(
        self, name: str, members: pb.Members, *, needs_all: bool
    ) -> None:
        self._members = members
        self._needs_all = needs_all
        self._granted = {name}
        self._barred: set[str] = set()
        self._term = 0
        self._opposed = False

    @property
    def decided(self) -> bool:
        """Whether no further answer changes what follows."""
        if self._needs_all:
            return self._opposed
        return membership.is_quorum(self._members, self._granted)

    def take(self, peer: pb.Replicant, answer: pb.VoteAnswer | None) -> None:
        """Count an answer, or a silence."""
        if answer is None:
            self._opposed = True
            return
        self._term = max(self._term, answer.term)
        if answer.granted and peer.disk in ('', answer.disk):
            self._granted.add(peer.name)
        elif not answer.admitted:
            self._barred.add(peer.name)
        else:
            self._opposed = True

    def count(self) -> Count:
        """Return what came of it."""
        voters = {
            member.name for member in self._members.replicas if member.voter
        }
        return Count(
            won=membership.is_quorum(self._members, self._granted),
            unopposed=voters <= self._granted | self._barred,
            term=self._term,
        )


async def poll(
    name: str, members: pb.Members, request: pb.VoteRequest, reach: Reach
) -> Count:
    """Ask all voters but ourselves, who vote for ourselves.

    Returns as soon as it is decided: a voter that is gone does not hold up
    those that are there.

    :param name: who asks
    """
    tally = _Tally(name, members, needs_all=request.unanimous)
    peers = {
        asyncio.create_task(_ask(reach(member), request)): member
        for member in members.replicas
        if member.voter and member.name != name
    }
    waiting = set(peers)
    try:
        while waiting and not tally.decided:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                tally.take(peers[task], task.result())
    finally:
        for task in waiting:
            task.cancel()
    return tally.count()


async def _ask(
    link: leadership.Link, request: pb.VoteRequest
) -> pb.VoteAnswer | None:
    try:
        return await link.vote(request)
    except OSError:
        return None
