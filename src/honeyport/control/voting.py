"""The rules by which a replica grants its vote.

The sections named here are those of "Consensus: Bridging Theory and
Practice" (Ongaro, 2014).
"""

import attrs

from honeyport.control import storage
from honeyport.wire import honeyport_pb2 as pb


@attrs.frozen(kw_only=True)
class VoterState:
    """State of a replica that decides whether it grants a vote.

    :ivar admitted: whether it is a voter, with its present disk
    :ivar has_recent_leader: whether a leader sent a message within the last
        election timeout
    :ivar recently_started: whether it started less than an election timeout
        ago
    :ivar is_leader: whether it is leader, with or without a lease
    :ivar has_lease: whether it is leader and its lease is valid
    :ivar vote: highest term seen, and the candidate voted for in it
    :ivar last_entry: term and index of its last log entry
    """

    admitted: bool
    has_recent_leader: bool
    recently_started: bool
    is_leader: bool
    has_lease: bool
    vote: storage.Vote
    last_entry: tuple[int, int]


def grants_vote(state: VoterState, request: pb.VoteRequest) -> bool:
    """Return whether a vote is granted (section 3.4; trial: 9.6).

    A vote that was given before is confirmed at any time. The wait after a
    start does not apply to a candidate that needs the answers of all voters.
    """
    if not state.admitted:
        return False
    if state.has_recent_leader:
        return _is_repeated_vote(state, request)
    if state.recently_started and not request.unanimous:
        return _is_repeated_vote(state, request)
    if request.unanimous and state.is_leader:
        return False
    if state.has_lease or request.term < state.vote.term:
        return False
    if request.term == state.vote.term and not request.trial:
        if state.vote.candidate not in ('', request.candidate):
            return False
    return (request.last_term, request.last_index) >= state.last_entry


def _is_repeated_vote(state: VoterState, request: pb.VoteRequest) -> bool:
    """Return whether the vote was already given to this candidate."""
    return (
        not request.trial
        and request.term == state.vote.term
        and request.candidate == state.vote.candidate
    )
