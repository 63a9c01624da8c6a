"""The entry side of claims: attempts that request slots from the holders.

The entry is the instance that accepted the client's call. Every operation
here terminates: unanswered messages are resent on ticks until a timeout that
is set when the operation starts.
"""

from collections import abc
import typing

import msgspec

from . import claim_messages as messages
from . import claim_outcomes
from . import claim_slots
from . import claim_timeouts
from . import claim_withdrawals
from . import parts

#: Upper bound of ``retry_after_s`` in :class:`InProgress` results.
MAX_RETRY_AFTER_S = 5.0
#: A granted attempt can be finished for this many times its deadline.
GRANT_RETENTION_DEADLINES = 2

Effects = list[typing.Any]
Result = typing.Any
UNSEEN_ATTEMPT = claim_slots.UNSEEN_ATTEMPT
_State = messages.SlotState
_Answer = messages.PutAnswer
_Reason = messages.UnavailableReason


class _Attempt(msgspec.Struct, kw_only=True):
    """A ``Begin`` and the holders' answers to its current round.

    :param give_up_at: time at which it ends without a grant.
    :param resend_at: when unanswered messages are sent again.
    :param granted: holders that granted their slot.
    :param full: holders that have no room for a new key.
    :param seen_by_holder: slots that holders reported as taken.
    """

    begin: messages.Begin
    round: int = 0
    give_up_at: float
    resend_at: float
    #: When it may start the next round; ``None`` if that is not delayed.
    advance_at: float | None = None
    granted: set[str] = msgspec.field(default_factory=set)
    full: set[str] = msgspec.field(default_factory=set)
    seen_by_holder: dict[str, claim_slots.SeenSlot] = msgspec.field(
        default_factory=dict
    )

    def clear_answers(self) -> None:
        """Discard answers, which are valid for one round and epoch only."""
        self.granted.clear()
        self.full.clear()
        self.seen_by_holder.clear()
        self.advance_at = None

    def slot(
        self,
        state: messages.SlotState,
        outcome: bytes = b'',
        kept: bool = True,
    ) -> messages.ClaimSlot:
        """Return this attempt's slot in the given state."""
        return messages.ClaimSlot(
            key=self.begin.key,
            round=self.round,
            state=state,
            digest=self.begin.digest,
            attempt_id=self.begin.attempt_id,
            deadline_s=self.begin.deadline_s,
            outcome=outcome,
            kept=kept,
        )


class Attempts:
    """Claims keys for the callers of this instance.

    :param timeouts: timeout and resend interval of requests to holders.
    :param max_outcome_bytes: of a larger outcome, only the fact that the
        attempt ran is stored.
    :param retention_s: seconds for which holders keep a slot; the deadline
        of an attempt may be at most half of it.
    """

    def __init__(
        self,
        *,
        timeouts: claim_timeouts.ClaimTimeouts,
        max_outcome_bytes: int,
        retention_s: float,
    ) -> None:
        self.timeouts = timeouts
        self.max_outcome_bytes = max_outcome_bytes
        self.retention_s = retention_s
        self._holder_set = claim_slots.NO_HOLDERS
        self._attempts_by_id: dict[str, _Attempt] = {}
        self._granted_by_id: dict[str, _Attempt] = {}
        self._outcomes = claim_outcomes.Outcomes(timeouts=timeouts)
        self._withdrawals = claim_withdrawals.Withdrawals(timeouts=timeouts)

    # Local requests.

    def begin(self, begin: messages.Begin) -> Effects:
        """Request the slot from every holder.

        :raises ValueError: if the deadline is more than half of the
            retention.
        """
        if begin.deadline_s > self.retention_s / 2:
            raise ValueError(
                f'deadline_s of {begin.deadline_s} is more than half of'
                f' retention_s, {self.retention_s}'
            )
        if not self._holder_set.holders:
            refused = messages.ClaimsUnavailable(
                retry_after_s=self.timeouts.resend_s, reason=_Reason.NO_HOLDERS
            )
            return [parts.Complete(ticket=begin.ticket, result=refused)]
        attempt = _Attempt(
            begin=begin,
            give_up_at=begin.now + self.timeouts.give_up_s,
            resend_at=begin.now + self.timeouts.resend_s,
        )
        self._attempts_by_id[begin.attempt_id] = attempt
        return self._put_requests(attempt)

    def finish(self, finish: messages.Finish) -> Effects:
        """Record the outcome of a granted attempt on the holders."""
        attempt = self._granted_by_id.pop(finish.attempt_id, None)
        if attempt is None:
            failed = messages.NotRecorded()
            return [parts.Complete(ticket=finish.ticket, result=failed)]
        kept = len(finish.outcome) <= self.max_outcome_bytes
        outcome = finish.outcome if kept else b''
        return self._outcomes.record(
            finish.now,
            finish.ticket,
            attempt.slot(_State.RECORDED, outcome, kept),
            result=messages.Recorded(),
            failure=messages.NotRecorded(),
        )

    def abandon(self, abandon: messages.Abandon) -> Effects:
        """Withdraw an attempt that did not run and will not run.

        Does nothing for a finished attempt, because it ran.
        """
        attempt = self._granted_by_id.pop(abandon.attempt_id, None)
        if attempt is None:
            attempt = self._attempts_by_id.pop(abandon.attempt_id, None)
        if attempt is None:
            return []
        return self._withdrawals.withdraw(
            abandon.now,
            attempt.slot(_State.WITHDRAWN),
            self._holder_set.holders,
        )

    def holders_changed(
        self, now: float, holder_set: claim_slots.HolderSet
    ) -> Effects:
        """Restart all requests under the new epoch.

        Grants from different epochs must not be added up to a majority.
        """
        if holder_set.epoch <= self._holder_set.epoch:
            return []
        self._holder_set = holder_set
        effects: Effects = []
        for attempt in self._attempts_by_id.values():
            attempt.clear_answers()
            effects += self._put_requests(attempt)
        self._withdrawals.holders_changed(holder_set)
        return effects + self._outcomes.holders_changed(holder_set)

    def outcome_answered(
        self, sender: str, reply: messages.ClaimOutcomeReply
    ) -> Effects:
        """Count a holder that has stored an outcome."""
        return self._outcomes.answered(sender, reply)

    def withdrawal_answered(
        self, sender: str, reply: messages.ClaimWithdrawReply
    ) -> Effects:
        """Stop resending a withdrawal to a holder that confirmed it."""
        return self._withdrawals.answered(sender, reply)

    def ticked(self, now: float) -> Effects:
        """Resend unanswered messages and end operations that timed out."""
        effects: Effects = []
        for attempt in list(self._attempts_by_id.values()):
            effects += self._attempt_ticked(now, attempt)
        effects += self._outcomes.ticked(now)
        effects += self._withdrawals.ticked(now)
        self._evict_expired_grants(now)
        return effects

    # Claiming a key.

    def put_answered(
        self, now: float, sender: str, reply: messages.ClaimPutReply
    ) -> Effects:
        """Count one holder's answer if it is for the current round."""
        attempt = self._attempts_by_id.get(reply.attempt_id)
        if attempt is None or reply.round != attempt.round:
            return []
        if not self._holder_set.is_current_reply(
            sender, reply.epoch, reply.disk_id
        ):
            return []
        if reply.answer is _Answer.GRANTED:
            attempt.granted.add(sender)
        elif reply.answer is _Answer.FULL:
            attempt.full.add(sender)
        elif reply.answer is _Answer.TAKEN and reply.slot is not None:
            attempt.seen_by_holder[sender] = claim_slots.SeenSlot(
                slot=reply.slot,
                age_s=reply.age_s,
                is_older=claim_slots.is_older(
                    slot_age_s=reply.age_s,
                    attempt_age_s=now - attempt.begin.now,
                ),
            )
        return self._evaluate(now, attempt, final=False)

    def _attempt_ticked(self, now: float, attempt: _Attempt) -> Effects:
        if now >= attempt.give_up_at:
            return self._evaluate(now, attempt, final=True)
        effects = self._evaluate(now, attempt, final=False)
        is_open = attempt.begin.attempt_id in self._attempts_by_id
        if is_open and now >= attempt.resend_at:
            attempt.resend_at = now + self.timeouts.resend_s
            effects += self._put_requests(attempt)
        return effects

    def _evaluate(
        self, now: float, attempt: _Attempt, *, final: bool
    ) -> Effects:
        """Act on the answers received so far, or wait for more.

        :param final: whether the attempt has timed out, so that it must end
            with the answers that it has.
        """
        if self._holder_set.is_majority(attempt.granted):
            return self._grant(attempt)
        recorded = self._recorded(attempt)
        if recorded is not None:
            return self._replay(now, attempt, recorded)
        if self._later_rounds(attempt):
            return self._join_round(now, attempt)
        if self._holder_set.is_majority(
            attempt.granted | self._unanswered(attempt)
        ):
            return self._end_without_grant(now, attempt) if final else []
        possible_winners = self._possible_winners(attempt)
        if possible_winners:
            if not final and not self._is_decided(attempt, possible_winners):
                return []
            return self._end_without_grant(now, attempt, possible_winners)
        if final or self._is_digest_mismatch(attempt):
            return self._end_without_grant(now, attempt)
        return self._advance(now, attempt)

    def _grant(self, attempt: _Attempt) -> Effects:
        attempt_id = attempt.begin.attempt_id
        del self._attempts_by_id[attempt_id]
        self._granted_by_id[attempt_id] = attempt
        return [self._complete(attempt, messages.Granted())]

    def _recorded(self, attempt: _Attempt) -> claim_slots.SeenSlot | None:
        for seen in attempt.seen_by_holder.values():
            if seen.slot.state is _State.RECORDED:
                return seen
        return None

    def _replay(
        self, now: float, attempt: _Attempt, seen: claim_slots.SeenSlot
    ) -> Effects:
        """Return a recorded outcome once a majority of holders stores it.

        If fewer holders stored it, the outcome could be lost with a disk
        after it was returned, and the next caller would get another answer.
        """
        if seen.slot.digest != attempt.begin.digest:
            return self._end(now, attempt, messages.DigestMismatch())
        outcome = seen.slot.outcome if seen.slot.kept else None
        replayed = messages.Replayed(outcome=outcome)
        storing = {
            holder
            for holder, other in attempt.seen_by_holder.items()
            if other.slot.state is _State.RECORDED
        }
        if self._holder_set.is_majority(storing):
            return self._end(now, attempt, replayed)
        return self._remove_and_withdraw(now, attempt) + self._outcomes.record(
            now,
            attempt.begin.ticket,
            seen.slot,
            result=replayed,
            failure=messages.ClaimsUnavailable(
                retry_after_s=self.timeouts.resend_s,
                reason=_Reason.HOLDERS_UNREACHABLE,
            ),
        )

    def _later_rounds(self, attempt: _Attempt) -> list[claim_slots.SeenSlot]:
        return [
            seen
            for seen in attempt.seen_by_holder.values()
            if seen.slot.round > attempt.round
        ]

    def _join_round(self, now: float, attempt: _Attempt) -> Effects:
        """Join a later round if it was started before this attempt began.

        Otherwise end: a call already answered as not run could then run.
        """
        later = self._later_rounds(attempt)
        latest_round = max(seen.slot.round for seen in later)
        for seen in later:
            if seen.slot.round == latest_round and seen.is_older:
                return self._enter_round(attempt, latest_round)
        return self._end(now, attempt, self._blocked(later))

    def _possible_winners(self, attempt: _Attempt) -> frozenset[str]:
        return claim_slots.possible_winners(
            attempt_id=attempt.begin.attempt_id,
            round=attempt.round,
            seen_by_holder={
                **attempt.seen_by_holder,
                **self._own_slots(attempt),
            },
            holder_set=self._holder_set,
        )

    def _own_slots(self, attempt: _Attempt) -> dict[str, claim_slots.SeenSlot]:
        slot = attempt.slot(_State.CLAIMED)
        return {
            holder: claim_slots.SeenSlot(slot=slot, age_s=0.0, is_older=False)
            for holder in attempt.granted
        }

    def _is_decided(
        self, attempt: _Attempt, possible_winners: frozenset[str]
    ) -> bool:
        """Whether outstanding answers can no longer change the result.

        This is so if all holders have answered, or if one possible winner
        certainly has a majority.
        """
        if not self._unanswered(attempt):
            return True
        counts: dict[str, set[str]] = {}
        for holder, seen in attempt.seen_by_holder.items():
            counts.setdefault(seen.slot.attempt_id, set()).add(holder)
        return any(
            self._holder_set.is_majority(counts.get(winner, set()))
            for winner in possible_winners
        )

    def _is_digest_mismatch(self, attempt: _Attempt) -> bool:
        """Whether a majority of holders stores the key with another digest."""
        others = {
            holder
            for holder, seen in attempt.seen_by_holder.items()
            if _has_other_digest(attempt, seen)
        }
        return self._holder_set.may_be_majority(others)

    def _advance(self, now: float, attempt: _Attempt) -> Effects:
        """Start the next round; the lowest attempt id goes first.

        The others wait one round trip, to avoid another split vote.
        """
        live = [
            seen.slot.attempt_id
            for seen in attempt.seen_by_holder.values()
            if seen.slot.state is _State.CLAIMED
        ]
        if min(live, default='~') < attempt.begin.attempt_id:
            if attempt.advance_at is None:
                attempt.advance_at = now + self.timeouts.round_trip_s
            if now < attempt.advance_at:
                return []
        return self._enter_round(attempt, attempt.round + 1)

    def _enter_round(self, attempt: _Attempt, round: int) -> Effects:
        attempt.round = round
        attempt.clear_answers()
        return self._put_requests(attempt)

    def _end_without_grant(
        self,
        now: float,
        attempt: _Attempt,
        possible_winners: abc.Set[str] = frozenset(),
    ) -> Effects:
        """End without a grant; the result depends on the blocking slots."""
        if self._is_digest_mismatch(attempt):
            return self._end(now, attempt, messages.DigestMismatch())
        blocking = _slots_of(attempt, possible_winners)
        if not blocking:
            return self._end(now, attempt, self._unavailable(attempt))
        # An attempt that no answer has shown may belong to the same call,
        # and may have run.
        is_other = all(_has_other_digest(attempt, one) for one in blocking)
        if is_other and UNSEEN_ATTEMPT not in possible_winners:
            return self._end(now, attempt, messages.DigestMismatch())
        return self._end(now, attempt, self._blocked(blocking))

    def _blocked(self, blocking: abc.Sequence[claim_slots.SeenSlot]) -> Result:
        remaining_s = max(self._remaining_s(seen) for seen in blocking)
        if remaining_s <= 0:
            return messages.OutcomeUnknown()
        return messages.InProgress(
            retry_after_s=min(remaining_s, MAX_RETRY_AFTER_S)
        )

    def _unavailable(self, attempt: _Attempt) -> messages.ClaimsUnavailable:
        return messages.ClaimsUnavailable(
            retry_after_s=self.timeouts.resend_s,
            reason=self._unavailable_reason(attempt),
        )

    def _unavailable_reason(
        self, attempt: _Attempt
    ) -> messages.UnavailableReason:
        if attempt.full:
            return _Reason.HOLDERS_FULL
        if self._unanswered(attempt):
            return _Reason.HOLDERS_UNREACHABLE
        return _Reason.CONTENDED

    def _remaining_s(self, seen: claim_slots.SeenSlot) -> float:
        """Return for how many seconds the slot's attempt may still run."""
        if seen.slot.state is _State.WITHDRAWN:
            return self.timeouts.round_trip_s
        if seen.slot.state is _State.CONTESTED:
            return 0.0
        return seen.slot.deadline_s + self.timeouts.give_up_s - seen.age_s

    def _end(
        self, now: float, attempt: _Attempt, result: typing.Any
    ) -> Effects:
        closing = self._remove_and_withdraw(now, attempt)
        return [self._complete(attempt, result), *closing]

    def _remove_and_withdraw(self, now: float, attempt: _Attempt) -> Effects:
        """Remove an attempt and withdraw slots that it may have got."""
        del self._attempts_by_id[attempt.begin.attempt_id]
        return self._withdrawals.withdraw(
            now,
            attempt.slot(_State.WITHDRAWN),
            attempt.granted | self._unanswered(attempt),
        )

    # Helpers.

    def _unanswered(self, attempt: _Attempt) -> frozenset[str]:
        """Return the holders without a valid answer in this round."""
        answered = (
            attempt.granted | attempt.full | attempt.seen_by_holder.keys()
        )
        return self._holder_set.holders - answered

    def _put_requests(self, attempt: _Attempt) -> Effects:
        begin = attempt.begin
        return [
            parts.Send(
                to=holder,
                message=messages.ClaimPut(
                    key=begin.key,
                    round=attempt.round,
                    digest=begin.digest,
                    attempt_id=begin.attempt_id,
                    deadline_s=begin.deadline_s,
                    epoch=self._holder_set.epoch,
                    disk_id=self._holder_set.disk_id_of(holder),
                ),
            )
            for holder in sorted(self._unanswered(attempt))
        ]

    def _complete(self, attempt: _Attempt, result: typing.Any) -> typing.Any:
        return parts.Complete(ticket=attempt.begin.ticket, result=result)

    def _evict_expired_grants(self, now: float) -> None:
        """Evict granted attempts that were neither finished nor abandoned.

        Without this, calls whose outcome never becomes known would stay in
        memory. The holders keep the slots; a later ``Finish`` is answered
        with ``NotRecorded``.
        """
        old = [
            attempt_id
            for attempt_id, attempt in self._granted_by_id.items()
            if now - attempt.begin.now > self._grant_retention_s(attempt)
        ]
        for attempt_id in old:
            del self._granted_by_id[attempt_id]

    def _grant_retention_s(self, attempt: _Attempt) -> float:
        deadlines_s = GRANT_RETENTION_DEADLINES * attempt.begin.deadline_s
        return deadlines_s + self.timeouts.give_up_s


def _slots_of(
    attempt: _Attempt, possible_winners: abc.Set[str]
) -> list[claim_slots.SeenSlot]:
    """Return the reported slots of possible winners.

    Contested slots have no attempt id; they are included if an unseen
    attempt is among the possible winners.
    """
    return [
        seen
        for seen in attempt.seen_by_holder.values()
        if seen.slot.attempt_id in possible_winners
    ]


def _has_other_digest(attempt: _Attempt, seen: claim_slots.SeenSlot) -> bool:
    if seen.slot.state is _State.CONTESTED:
        return False
    return seen.slot.digest != attempt.begin.digest
