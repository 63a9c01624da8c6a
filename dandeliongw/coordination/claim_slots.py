"""Rules over slots: majorities, merging copies, and when a round is dead.

These are the decisions that ``specs/claims_spec.py`` checks; they are plain
functions, so that the specification and the code can be read side by side.
"""

from collections import abc

import msgspec

from . import claim_messages as messages

#: Two monotonic clocks drift apart by less than this share.
CLOCK_DRIFT = 0.001

#: Stands for attempts that no answer has shown.
UNSEEN = ''

_State = messages.SlotState


class HolderSet(msgspec.Struct, frozen=True, kw_only=True):
    """The holders of one epoch: the set that counts and the one to come.

    :param disk_ids_by_holder: of the set that counts now.
    :param joining: disk ids of holders that are catching up.
    :param leaving: holders that are not in the set to come.
    """

    epoch: int
    disk_ids_by_holder: abc.Mapping[str, str]
    joining: abc.Mapping[str, str]
    leaving: frozenset[str]

    @property
    def sets(self) -> tuple[frozenset[str], ...]:
        """The sets of which each needs a majority."""
        old = frozenset(self.disk_ids_by_holder)
        if not self.joining and not self.leaving:
            return (old,)
        return (old, (old | frozenset(self.joining)) - self.leaving)

    @property
    def holders(self) -> frozenset[str]:
        """Every holder of the old and of the new set."""
        return frozenset().union(*self.sets)

    def disk_id_of(self, holder: str) -> str:
        """The disk that counts for a holder, or is to count."""
        old = self.disk_ids_by_holder.get(holder)
        return self.joining.get(holder) or old or ''

    def speaks(self, holder: str, epoch: int, disk_id: str) -> bool:
        """Whether a reply comes from a disk of this set, in this epoch."""
        return epoch == self.epoch and disk_id == self.disk_id_of(holder)

    def is_majority(self, holders: abc.Set[str]) -> bool:
        """Whether these are a majority of every set: enough to act on."""
        return all(_is_majority(holders, one) for one in self.sets)

    def may_be_majority(self, holders: abc.Set[str]) -> bool:
        """Whether these are a majority of any set: enough to fear."""
        return any(_is_majority(holders, one) for one in self.sets)


def _is_majority(holders: abc.Set[str], of: frozenset[str]) -> bool:
    return len(holders & of) > len(of) // 2


#: Before the register has said who the holders are; older than its first.
NO_HOLDERS = HolderSet(
    epoch=-1, disk_ids_by_holder={}, joining={}, leaving=frozenset()
)


class SeenSlot(msgspec.Struct, frozen=True, kw_only=True):
    """A slot as a holder showed it to an attempt.

    :param age_s: seconds since it last changed, or fewer.
    :param is_older: whether it last changed before the attempt began.
    """

    slot: messages.ClaimSlot
    age_s: float
    is_older: bool


def is_older(*, slot_age_s: float, attempt_age_s: float) -> bool:
    """Whether a slot last changed before an attempt began.

    Durations of two clocks are compared, never two clocks; on its way the
    reply can only make the slot older than it says.
    """
    return slot_age_s > attempt_age_s * (1 + CLOCK_DRIFT)


def rivals(
    *,
    attempt_id: str,
    round: int,
    seen_by_holder: abc.Mapping[str, SeenSlot],
    holder_set: HolderSet,
) -> frozenset[str]:
    """Return the attempts that may have won a round; empty: it is dead.

    A slot never changes hands within a round, so an attempt that can't have
    a majority of what is seen and what is unseen never had one and never
    gets one. What nobody has seen counts for everybody, also for attempts
    that no answer has shown, for which :data:`UNSEEN` stands.

    :param attempt_id: the one that asks; it knows that it did not win.
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
    suspects = {seen.slot.attempt_id for seen in shown.values()} | {UNSEEN}
    return frozenset(
        suspect
        for suspect in suspects - never_ran
        if holder_set.may_be_majority(
            unseen | _holders_of(suspect, shown, round)
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
    """Whether an attempt was withdrawn before the asking one began.

    What goes wrong without the order: a caller's first send is slow in
    taking its claim; the second is granted, withdrawn and answered "not
    run"; then the first finds the key free and runs. One would notice a
    booking whose caller was told that there is none.
    """
    return seen.slot.state is _State.WITHDRAWN and seen.is_older


def merge(
    one: messages.ClaimSlot | None, other: messages.ClaimSlot
) -> messages.ClaimSlot:
    """Return what a joining holder keeps when two holders differ.

    An outcome proves that its attempt won. A higher round proves that the
    lower one is dead. Two attempts in one round prove nothing: the lost
    disk may have given either its majority. Keeping one of the two would
    let it run a second time; so the slot is contested, for good.
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
