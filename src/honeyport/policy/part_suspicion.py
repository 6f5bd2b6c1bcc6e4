"""The leader's decisions about prompt parts that crash instances.

Which parts explain the crashes is found in
:mod:`honeyport.policy.crash_history`; the requests that have them are barred
and tried again as in :mod:`honeyport.policy.suspicion`. Only gateways know
which parts were answered, so they are asked before any is blamed.
"""

import collections.abc

import attrs

from honeyport.policy import crash_history
from honeyport.policy import suspicion
from honeyport.policy import traits

# How long gateways may take to tell when they had answers with a part. It
# covers two ticks of the leader and a round trip between regions.
_REPLY_S = 0.3


@attrs.frozen
class Answer:
    """A complete answer to a request with a part.

    :ivar began_at: loop time at which the request was sent
    """

    service: str
    part: str
    began_at: float


@attrs.frozen
class Change:
    """A change of the restrictions on requests with certain parts.

    :ivar requests: the requests that are concerned
    :ivar blame: why they are barred; ``None`` if they no longer are
    :ivar predecessors: other sets that these requests are barred instead of
    :ivar is_explained_away: whether other parts explain the crashes
    """

    requests: traits.PartSet
    blame: crash_history.Blame | None = None
    predecessors: tuple[traits.PartSet, ...] = ()
    is_explained_away: bool = False


class PartSuspicion:
    """Parts that may crash instances, and how the leader deals with them.

    :param register: contains the sets of parts that are barred
    """

    def __init__(self, register: suspicion.EndRegister) -> None:
        self._register = register
        self._history = crash_history.CrashHistory()
        self._candidates: list[crash_history.Key] = []
        self._asked_at: dict[crash_history.Key, float] = {}
        # Keys of the barred sets that the present history leads to.
        self._explained: set[str] = set()
        # Parts of each barred set that were answered after its crashes.
        self._harmless: dict[str, set[str]] = {}
        # The part of each of these sets that explains its crashes.
        self._blamed: set[crash_history.Key] = set()
        self._is_changed = False

    @property
    def candidates(self) -> list[crash_history.Key]:
        """The parts that gateways are asked about."""
        return self._candidates

    @property
    def is_undecided(self) -> bool:
        """Whether :meth:`update` is to be called again soon."""
        return self._is_changed

    def record_crash(
        self,
        instance: str,
        at: float,
        requests: collections.abc.Iterable[traits.Traits],
    ) -> None:
        """Record requests that broke when an instance crashed.

        :param at: loop time of the crash
        """
        if self._history.record_crash(instance, at, requests):
            # Without the crashes that were dropped, nothing can be concluded
            # about what they had led to.
            self._explained.clear()
        self._is_changed = True

    def record_answers(
        self, answers: collections.abc.Sequence[Answer]
    ) -> list[Change]:
        """Record complete answers that a gateway had.

        Requests whose parts were all answered after the crashes are cleared.
        """
        for answer in answers:
            if self._history.record_answer(
                answer.service, answer.part, answer.began_at
            ):
                self._is_changed = True
        changes = []
        for requests, latest_end_at in self._register.part_sets():
            harmless = self._harmless.setdefault(requests.key, set())
            harmless |= {
                answer.part
                for answer in answers
                if answer.service == requests.service
                and answer.began_at > latest_end_at
            }
            if harmless.issuperset(requests.parts):
                self._remove(requests)
                changes.append(Change(requests))
        return changes

    def record_request_answer(self, fingerprint: str, now: float) -> None:
        """Record that one request, not a part, turned out to be harmless."""
        self._history.record_request_answer(fingerprint, now)
        self._is_changed = True

    def clear(self, requests: traits.PartSet, now: float) -> None:
        """Stop blaming parts for the crashes so far."""
        self._remove(requests)
        for part in requests.parts:
            self._history.record_answer(requests.service, part, now)
        self._is_changed = True

    def update(self, now: float) -> list[Change]:
        """Decide anew which requests are barred, if anything has changed."""
        if not self._is_changed:
            return []
        self._is_changed = False
        blames = self._history.blame(self._blamed)
        self._update_candidates(blames, now)
        changes = []
        for blame in blames:
            changes += self._bar(blame, now)
        keys = {blame.requests.key for blame in blames}
        explained_ends = {end for blame in blames for end in blame.crashes}
        for requests, _ in self._register.part_sets():
            if requests.key in self._explained - keys:
                ends = self._register.ends(requests.key)
                self._remove(requests)
                changes.append(
                    Change(
                        requests,
                        is_explained_away=explained_ends.issuperset(ends),
                    )
                )
        self._explained &= keys
        self._blamed = {
            (blame.requests.service, blame.part)
            for blame in blames
            if blame.requests.key in self._explained
        }
        return changes

    def _remove(self, requests: traits.PartSet) -> None:
        self._register.clear(requests.key)
        self._harmless.pop(requests.key, None)

    def _update_candidates(
        self, blames: list[crash_history.Blame], now: float
    ) -> None:
        keys = dict.fromkeys(
            (blame.requests.service, blame.part) for blame in blames
        ) | dict.fromkeys(self._history.candidates())
        self._candidates = list(keys)
        self._asked_at = {key: self._asked_at.get(key, now) for key in keys}

    def _bar(self, blame: crash_history.Blame, now: float) -> list[Change]:
        """Bar the requests that are blamed, once gateways could reply."""
        requests = blame.requests
        asked_at = self._asked_at[requests.service, blame.part]
        is_known = self._register.has_part_set(requests)
        if not is_known and now < asked_at + _REPLY_S:
            self._is_changed = True
            return []
        self._explained.add(requests.key)
        predecessors = tuple(
            known
            for known, _ in self._register.part_sets()
            if known != requests and requests.covers(known)
        )
        for known in predecessors:
            self._register.replace_parts(known, requests)
            self._harmless.pop(known.key, None)
        is_new = self._register.set_part_ends(
            requests, blame.crashes, is_unanswered=blame.answered_at is None
        )
        if is_new or predecessors:
            return [Change(requests, blame, predecessors)]
        return []
