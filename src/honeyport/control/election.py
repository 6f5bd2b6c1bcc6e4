"""Request votes from all voters and count them."""

import asyncio
import collections.abc

import attrs

from honeyport.control import leadership
from honeyport.control import membership
from honeyport.wire import honeyport_pb2 as pb

GetLink = collections.abc.Callable[[pb.Replicant], leadership.Link]


@attrs.frozen
class Result:
    """Result of one round of vote requests.

    :ivar won: whether a quorum granted its vote
    :ivar unopposed: whether each voter granted its vote or answered that it
        is not admitted, as after losing its disk: then none can be leader
    :ivar term: the highest term in the answers
    """

    won: bool
    unopposed: bool
    term: int


class _Tally:
    """Counts the answers, and the candidate's vote for itself.

    :param name: name of the candidate
    :param needs_all: whether one refusal or failure loses the election
    """

    def __init__(
        self, name: str, members: pb.Members, *, needs_all: bool
    ) -> None:
        self._members = members
        self._needs_all = needs_all
        self._granted = {name}
        self._not_admitted: set[str] = set()
        self._term = 0
        self._is_opposed = False

    @property
    def is_decided(self) -> bool:
        """Whether further answers cannot change the result."""
        if self._needs_all:
            return self._is_opposed
        return membership.is_quorum(self._members, self._granted)

    def add(self, peer: pb.Replicant, answer: pb.VoteAnswer | None) -> None:
        """Count an answer; ``None`` if the request failed."""
        if answer is None:
            self._is_opposed = True
            return
        self._term = max(self._term, answer.term)
        if answer.granted and peer.disk in ('', answer.disk):
            self._granted.add(peer.name)
        elif not answer.admitted:
            self._not_admitted.add(peer.name)
        else:
            self._is_opposed = True

    def result(self) -> Result:
        """Return the result of the answers so far."""
        voters = {
            member.name for member in self._members.replicas if member.voter
        }
        return Result(
            won=membership.is_quorum(self._members, self._granted),
            unopposed=voters <= self._granted | self._not_admitted,
            term=self._term,
        )


async def request_votes(
    name: str, members: pb.Members, request: pb.VoteRequest, get_link: GetLink
) -> Result:
    """Request the votes of all other voters, in parallel.

    Returns as soon as the result is certain, so that an unreachable voter
    does not delay the election.

    :param name: name of the candidate, which votes for itself
    :param get_link: returns the link to a member
    """
    tally = _Tally(name, members, needs_all=request.unanimous)
    peer_by_task = {
        asyncio.create_task(_request_vote(get_link(member), request)): member
        for member in members.replicas
        if member.voter and member.name != name
    }
    pending = set(peer_by_task)
    try:
        while pending and not tally.is_decided:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                tally.add(peer_by_task[task], task.result())
    finally:
        for task in pending:
            task.cancel()
    return tally.result()


async def _request_vote(
    link: leadership.Link, request: pb.VoteRequest
) -> pb.VoteAnswer | None:
    try:
        return await link.vote(request)
    except OSError:
        return None
