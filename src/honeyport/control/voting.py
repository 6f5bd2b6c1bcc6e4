"""Whether a replica gives its vote.

The sections named here are those of "Consensus: Bridging Theory and
Practice" (Ongaro, 2014).
"""

import attrs

from honeyport.control import storage
from honeyport.wire import honeyport_pb2 as pb


@attrs.frozen(kw_only=True)
class Voter:
    """What a replica knows when it is asked for its vote.

    :ivar admitted: whether it may vote at all, with this disk
    :ivar hears_leader: whether a leader was heard within an election timeout
    :ivar is_early: whether a vote given before a restart may still be fresh
    :ivar is_leader: whether it leads, with or without a lease
    :ivar has_lease: whether it leads and its lease stands
    :ivar vote: the highest term seen, and the vote given in it
    :ivar last: term and index of its last entry
    """

    admitted: bool
    hears_leader: bool
    is_early: bool
    is_leader: bool
    has_lease: bool
    vote: storage.Vote
    last: tuple[int, int]


def may_vote(voter: Voter, request: pb.VoteRequest) -> bool:
    """Whether a candidate gets the vote (section 3.4; trial: 9.6)."""
    if not voter.admitted:
        return False
    if voter.hears_leader:
        return _repeats_vote(voter, request)
    if voter.is_early and not request.unanimous:
        return _repeats_vote(voter, request)
    if request.unanimous and voter.is_leader:
        return False
    if voter.has_lease or request.term < voter.vote.term:
        return False
    if request.term == voter.vote.term and not request.trial:
        if voter.vote.candidate not in ('', request.candidate):
            return False
    return (request.last_term, request.last_index) >= voter.last


def _repeats_vote(voter: Voter, request: pb.VoteRequest) -> bool:
    """Whether the vote was given to the same candidate already."""
    return (
        not request.trial
        and request.term == voter.vote.term
        and request.candidate == voter.vote.candidate
    )
