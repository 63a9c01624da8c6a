"""Rules for slots: majorities, merging copies, and unwinnable rounds.

``specs/claims_spec.py`` checks these rules. They are pure functions, so that
they can be compared with the specification.
"""

from collections import abc

import msgspec

from . import claim_messages as messages

#: Largest relative difference between the rates of two monotonic clocks.
CLOCK_DRIFT = 0.001

#: Attempt id that stands for attempts that no answer has shown.
UNSEEN_ATTEMPT = ''

_State = messages.SlotState


class HolderSet(msgspec.Struct, frozen=True, kw_only=True):
    """The holders of one epoch: the current set and the next one.

    :param disk_ids_by_holder: disk ids of the current set.
    :param joining: disk ids of holders that are catching up.
    :param leaving: holders that are not in the next set.
    """

    epoch: int
    disk_ids_by_holder: abc.Mapping[str, str]
    joining: abc.Mapping[str, str]
    leaving: frozenset[str]

    @property
    def sets(self) -> tuple[frozenset[str], ...]:
        """The sets that each need a majority: current, and next if any."""
        old = frozenset(self.disk_ids_by_holder)
        if not self.joining and not self.leaving:
            return (old,)
        return (old, (old | frozenset(self.joining)) - self.leaving)

    @property
    def holders(self) -> frozenset[str]:
        """Every holder of the current and the next set."""
        return frozenset().union(*self.sets)

    def disk_id_of(self, holder: str) -> str:
        """A holder's disk id in the next set, or in the current one."""
        old = self.disk_ids_by_holder.get(holder)
        return self.joining.get(holder) or old or ''

    def is_current_reply(self, holder: str, epoch: int, disk_id: str) -> bool:
        """Whether a reply is from this epoch and a disk of this set."""
        return epoch == self.epoch and disk_id == self.disk_id_of(holder)

    def is_majority(self, holders: abc.Set[str]) -> bool:
        """Whether these are a majority of every set, as a decision needs."""
        return all(_is_majority(holders, one) for one in self.sets)

    def may_be_majority(self, holders: abc.Set[str]) -> bool:
        """Whether these are a majority of any set, so possibly decisive."""
        return any(_is_majority(holders, one) for one in self.sets)


def _is_majority(holders: abc.Set[str], of: frozenset[str]) -> bool:
    return len(holders & of) > len(of) // 2


#: Used until the register supplies a set; its epoch is below all real ones,
#: which start at 0.
NO_HOLDERS = HolderSet(
    epoch=-1, disk_ids_by_holder={}, joining={}, leaving=frozenset()
)


class SeenSlot(msgspec.Struct, frozen=True, kw_only=True):
    """A slot as a holder reported it to an attempt.

    :param age_s: lower bound of the seconds since it last changed; a restart
        of the holder and the time in transit make the real age higher.
    :param is_older: whether it last changed before the attempt began.
    """

    slot: messages.ClaimSlot
    age_s: float
    is_older: bool


def is_older(*, slot_age_s: float, attempt_age_s: float) -> bool:
    """Whether a slot last changed before an attempt began.

    Two durations are compared, each measured by one clock, never times of
    two clocks. The reply's transit time only makes the slot older than
    reported.

    :param slot_age_s: seconds since its last change by the holder's clock.
    :param attempt_age_s: seconds since its start by the entry's clock.
    """
    return slot_age_s > attempt_age_s * (1 + CLOCK_DRIFT)


def possible_winners(
    *,
    attempt_id: str,
    round: int,
    seen_by_holder: abc.Mapping[str, SeenSlot],
    holder_set: HolderSet,
) -> frozenset[str]:
    """Return the attempts that may have won a round.

    If there are none, nobody can win the round any more. Within a round, a
    slot is never reassigned. So an attempt that lacks a majority even if all
    unseen slots are counted for it never had one and never gets one. Unseen
    slots count for every attempt, also for attempts that no answer has
    shown, which :data:`UNSEEN_ATTEMPT` represents.

    :param attempt_id: the caller's own attempt, which has not won.
    :param seen_by_holder: the slots that holders reported for the key.
    """
    shown = {
        holder: seen
        for holder, seen in seen_by_holder.items()
        if seen.slot.state is not _State.CONTESTED
    }
    unseen = holder_set.holders - shown.keys()
    never_ran = {
        seen.slot.attempt_id
        for seen in shown.values()
        if is_withdrawn_before(seen)
    }
    never_ran.add(attempt_id)
    candidates = {seen.slot.attempt_id for seen in shown.values()} | {
        UNSEEN_ATTEMPT
    }
    return frozenset(
        candidate
        for candidate in candidates - never_ran
        if holder_set.may_be_majority(
            unseen | _holders_of(candidate, shown, round)
        )
    )


def _holders_of(
    attempt_id: str, shown: abc.Mapping[str, SeenSlot], round: int
) -> frozenset[str]:
    return frozenset(
        holder
        for holder, seen in shown.items()
        if seen.slot.attempt_id == attempt_id and seen.slot.round == round
    )


def is_withdrawn_before(seen: SeenSlot) -> bool:
    """Whether an attempt was withdrawn before the current one began.

    Without the check of the order, a call could run after its caller got the
    answer "not run": the caller's first request is slow to claim the key;
    its retry is granted, withdrawn and answered "not run"; then the first
    request finds the key free and runs.
    """
    return seen.slot.state is _State.WITHDRAWN and seen.is_older


def merge(
    one: messages.ClaimSlot | None, other: messages.ClaimSlot
) -> messages.ClaimSlot:
    """Return the slot that a joining holder stores if two copies differ.

    An outcome proves that its attempt won. A higher round proves that nobody
    can win the lower one. Two attempts in one round prove nothing: the lost
    disk may have completed the majority of either. Keeping one of the two
    could let the call run twice. So the slot is marked as contested, and
    within the round only a recorded outcome replaces it.
    """
    if one is None or one == other:
        return other
    if _State.RECORDED in (one.state, other.state):
        return one if one.state is _State.RECORDED else other
    if one.round != other.round:
        return max(one, other, key=lambda slot: slot.round)
    if one.attempt_id == other.attempt_id:
        return one if one.state is _State.WITHDRAWN else other
    return msgspec.structs.replace(
        one, state=_State.CONTESTED, attempt_id='', digest=b''
    )
