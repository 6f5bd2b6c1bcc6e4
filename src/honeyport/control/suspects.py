"""The leader's record of requests during which instances crashed.

The decisions are made in :mod:`honeyport.policy.suspicion`, and about requests
with certain prompt parts in :mod:`honeyport.policy.part_suspicion`. Those with
several crashes ("ends") are part of the replicated state, so that they are
still refused after a change of leader or a restart of all processes. They are
sent to the gateways before they are committed, so that disk latency does not
delay the message. Gateways report those with one end to each new leader.
"""

import asyncio
import collections.abc

from honeyport.control import machine
from honeyport.control import replica
from honeyport import errors
from honeyport.policy import crash_history
from honeyport.policy import part_suspicion
from honeyport.policy import suspicion
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import prompt_parts

# Pause between two checks for uncommitted changes, far below the time after
# which a crashed instance is back.
_PERSIST_INTERVAL_S = 0.1
# How long a message to the gateways is reused: one tick. The remaining times
# in it are inaccurate by up to as much.
_MESSAGE_REUSE_S = 0.05
_MAX_LOGGED_PARTS = 20  # in one log line

LeaseCheck = collections.abc.Callable[[str, str], bool]


class Suspects:
    """The record of one replica, valid while it leads.

    :param has_lease: returns whether an incarnation of a router holds a lease
    :param counters: the process's metrics
    """

    def __init__(
        self,
        node: replica.Replica,
        has_lease: LeaseCheck,
        counters: metrics.Metrics,
    ) -> None:
        self._node = node
        self._has_lease = has_lease
        self._metrics = counters
        self._register = suspicion.EndRegister({}, 0.0)
        self._parts = part_suspicion.PartSuspicion(self._register)
        self._number = 0
        self._reported: list[suspicion.Suspect] = []
        self._candidates: frozenset[crash_history.Key] = frozenset()
        self._barred: frozenset[str] = frozenset()
        self._is_unsaved = False
        self._is_stale = False
        # Loop time at which the next request is no longer barred.
        self._next_unbar_at = float('inf')
        self._message = pb.Suspects()
        self._message_expires_at = float('-inf')
        counters.gauge('suspects', lambda: len(self._register))
        counters.gauge('parts_suspected', lambda: len(self._candidates))
        counters.gauge('requests_barred', lambda: len(self._barred))

    @property
    def number(self) -> int:
        """The number of changes to what gateways are sent; 0 before a term."""
        return self._number

    @property
    def reported(self) -> list[suspicion.Suspect]:
        """The suspects that gateways are sent, with several ends each."""
        return self._reported

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to send to a gateway that has nothing."""
        return not self._reported and not self._candidates

    def start_term(self) -> None:
        """Load the committed record, at the start of a term."""
        committed = self._node.machine.suspects
        self._register = suspicion.EndRegister(committed, _now())
        self._parts = part_suspicion.PartSuspicion(self._register)
        self._is_unsaved = False
        self._update_reported()

    def handle_item(
        self, router: pb.Member, item: pb.RouterItem
    ) -> pb.ControlItem | None:
        """Handle a router's message about suspects.

        :returns: the answer, if the kind of message has one
        """
        kind = item.WhichOneof('item')
        if kind == 'ends':
            self._record_ends(router, item.ends)
        elif kind == 'acquittal':
            fingerprints = [
                request.hex() for request in item.acquittal.requests
            ]
            self.clear(fingerprints, by=router.router)
        elif kind == 'permit':
            return pb.ControlItem(
                permit=self._answer_permit_request(router, item.permit)
            )
        elif kind == 'release':
            fingerprint = item.release.request.hex()
            self._register.release_permit(fingerprint, _holder(router))
        elif kind == 'part_answers':
            self._record_answers(item.part_answers, router.router)
        return None

    def _record_ends(self, router: pb.Member, ends: pb.Ends) -> None:
        """Record the ends that a gateway reports."""
        for end in ends.ends:
            ended_at = _now() - end.age_ms / 1000
            if end.prompts and end.age_ms < crash_history.MAX_AGE_S * 1000:
                self._parts.record_crash(
                    end.backend,
                    ended_at,
                    [
                        prompt_parts.from_prompt(prompt)
                        for prompt in end.prompts
                    ],
                )
                self._is_stale = True
            for request in end.requests:
                self._record_end(
                    request.hex(), end.backend, ended_at, router.router
                )

    def _record_answers(self, message: pb.PartAnswers, router: str) -> None:
        """Record when a gateway had complete answers with certain parts."""
        now = _now()
        answers = [
            part_suspicion.Answer(
                answer.service, answer.part, now - answer.age_ms / 1000
            )
            for answer in message.answers
        ]
        self._log_changes(self._parts.record_answers(answers), router)
        self._is_stale = True

    def clear(self, requests: collections.abc.Iterable[str], by: str) -> bool:
        """Remove requests from the record.

        :param requests: fingerprints, or keys of sets, in hexadecimal
        :param by: the router or operator that cleared them, for the log
        :returns: whether at least one of them was in the record
        """
        part_sets = {
            part_set.key: part_set
            for part_set, _ in self._register.part_sets()
        }
        cleared = []
        for request in requests:
            if request in part_sets:
                self._parts.clear(part_sets[request], _now())
                cleared.append(request)
                continue
            self._parts.record_request_answer(request, _now())
            if self._register.clear(request):
                cleared.append(request)
        if cleared:
            logs.emit(events.SUSPECTS_CLEARED, fingerprints=cleared, by=by)
            self._metrics.count('suspects_cleared', len(cleared))
            self._is_unsaved = True
            self._update_reported()
        return bool(cleared)

    def _answer_permit_request(
        self, router: pb.Member, request: pb.PermitRequest
    ) -> pb.PermitAnswer:
        """Grant or refuse a gateway the permit to run a request."""
        fingerprint = request.request.hex()
        decision = self._register.request_permit(
            fingerprint, _holder(router), _now(), self._holder_has_lease
        )
        if decision.granted:
            self._is_unsaved = self._is_stale = True
        logs.emit(
            events.PERMIT_GIVEN if decision.granted else events.PERMIT_REFUSED,
            fingerprint=fingerprint,
            router=router.router,
            back_s=decision.retry_after_s,
        )
        return pb.PermitAnswer(
            id=request.id,
            granted=decision.granted,
            back_ms=_milliseconds(decision.retry_after_s or 0.0),
            barred=decision.barred,
        )

    def refresh(self) -> None:
        """Update :attr:`reported` if it may have changed, once a tick."""
        if self._is_stale or _now() >= self._next_unbar_at:
            self._update_reported()

    def message(self) -> pb.Suspects:
        """Return the message with all reported requests.

        It is built at most once a tick and shared by all streams.
        """
        now = _now()
        is_current = self._message.number == self._number
        if is_current and now < self._message_expires_at:
            return self._message
        self._message = self._to_message(now)
        self._message_expires_at = now + _MESSAGE_REUSE_S
        return self._message

    def _to_message(self, now: float) -> pb.Suspects:
        message = pb.Suspects(number=self._number)
        for suspect in self._reported:
            message.suspects.add(
                request=bytes.fromhex(suspect.request),
                ends=suspect.ends,
                since_ms=max(0, int((now - suspect.first_end_at) * 1000)),
                barred=suspect.is_barred(now),
                back_ms=_milliseconds(suspect.barred_until - now),
                set=prompt_parts.to_part_set(suspect.part_set),
                unanswered=suspect.is_unanswered,
            )
        for service, part in sorted(self._candidates):
            message.candidates.add(service=service, part=part)
        return message

    def records(self) -> list[pb.SuspectRecord]:
        """Return what is stored of each reported suspect."""
        return machine.suspect_records(self._to_stored())

    async def persist(self) -> None:
        """Commit requests with several ends while leading, until cancelled."""
        while True:
            await asyncio.sleep(_PERSIST_INTERVAL_S)
            if self._is_unsaved and self._node.leads:
                self._is_unsaved = False
                await self._save()

    def _record_end(
        self, request: str, instance: str, ended_at: float, router: str
    ) -> None:
        ends = self._register.record_end(request, instance, ended_at)
        if ends < suspicion.PERMIT_MIN_ENDS:
            return  # all requests of the instance share this end
        self._is_unsaved = True
        self._is_stale = True
        logs.emit(
            events.REQUEST_SUSPECTED,
            fingerprint=request,
            ends=ends,
            barred=ends >= suspicion.BAR_MIN_ENDS,
            instances=self._register.ended_instances(request),
            router=router,
        )

    def _update_reported(self) -> None:
        """Update :attr:`reported`, and its number if it changed."""
        now = _now()
        self._log_changes(self._parts.update(now))
        self._is_stale = self._parts.is_undecided
        reported = self._register.suspects()
        barred_until = {
            suspect.request: suspect.barred_until
            for suspect in reported
            if suspect.is_barred(now)
        }
        self._next_unbar_at = min(barred_until.values(), default=float('inf'))
        barred = frozenset(barred_until)
        candidates = frozenset(self._parts.candidates)
        if (
            self._number
            and reported == self._reported
            and barred == self._barred
            and candidates == self._candidates
        ):
            return
        suspected = sorted(candidates - self._candidates)
        if suspected:
            logs.emit(
                events.PARTS_SUSPECTED,
                count=len(suspected),
                parts=suspected[:_MAX_LOGGED_PARTS],
            )
        self._is_unsaved |= reported != self._reported
        self._reported = reported
        self._candidates = candidates
        self._barred = barred
        self._number += 1

    def _log_changes(
        self, changes: list[part_suspicion.Change], router: str = ''
    ) -> None:
        """Log which requests with certain parts are barred, or no longer."""
        for change in changes:
            self._is_unsaved = True
            fields = {
                'fingerprint': change.requests.key,
                'parts': change.requests.parts,
                'service': change.requests.service,
            }
            blame = change.blame
            if blame is None:
                event = (
                    events.PARTS_EXPLAINED
                    if change.is_explained_away
                    else events.PARTS_CLEARED
                )
                logs.emit(event, router=router, **fields)
                self._metrics.count('part_sets_cleared')
                continue
            answered_at = blame.answered_at
            logs.emit(
                events.PARTS_BARRED,
                part=blame.part,
                ends=len(blame.crashes),
                instances=[instance for instance, _ in blame.crashes],
                answered_before_s=(
                    None
                    if answered_at is None
                    else round(blame.crashes[0][1] - answered_at, 1)
                ),
                instead_of=[known.key for known in change.predecessors],
                **fields,
            )
            self._metrics.count('part_sets_barred')

    def _to_stored(self) -> dict[str, suspicion.StoredSuspect]:
        """Return what to store of each reported suspect."""
        return {
            suspect.request: self._register.to_stored(suspect.request)
            for suspect in self._reported
        }

    async def _save(self) -> None:
        """Commit the changes; retry failed ones in the next round."""
        self.refresh()
        committed = self._node.machine.suspects
        current = self._to_stored()
        changed = {
            request: suspect
            for request, suspect in current.items()
            if committed.get(request) != suspect
        }
        change = pb.SuspectChange(
            put=machine.suspect_records(changed),
            removed=[
                bytes.fromhex(request)
                for request in committed.keys() - current
            ],
        )
        if not change.put and not change.removed:
            return
        try:
            await self._node.propose(change)
        except errors.HoneyportError as error:
            self._is_unsaved = True
            logs.emit(
                events.SUSPECTS_UNSAVED, code=error.code, detail=error.detail
            )

    def _holder_has_lease(self, holder: str) -> bool:
        router, _, incarnation = holder.partition('/')
        return self._has_lease(router, incarnation)


def _holder(router: pb.Member) -> str:
    return f'{router.router}/{router.incarnation}'


def _milliseconds(seconds: float) -> int:
    """Return a remaining time; 0 if it is over or infinite."""
    if seconds <= 0 or seconds == float('inf'):
        return 0
    return max(1, int(seconds * 1000))


def _now() -> float:
    return asyncio.get_running_loop().time()
