"""Sends withdrawals of attempts that did not run to the holders."""

from collections import abc
import typing

import msgspec

from . import claim_messages as messages
from . import claim_slots
from . import claim_timeouts
from . import parts

Effects = list[typing.Any]


class _Withdrawal(msgspec.Struct, kw_only=True):
    """A withdrawn attempt and the holders that have not confirmed it."""

    slot: messages.ClaimSlot
    pending: set[str]
    give_up_at: float
    resend_at: float


class Withdrawals:
    """Sends withdrawals to holders until they confirm or a timeout passes.

    A lost withdrawal is safe: the holder keeps a slot for an attempt that
    never runs, and later requests with the key may be answered that the
    outcome is unknown.

    :param timeouts: timeout and resend interval.
    """

    def __init__(self, *, timeouts: claim_timeouts.ClaimTimeouts) -> None:
        self._timeouts = timeouts
        self._holder_set = claim_slots.NO_HOLDERS
        self._withdrawals_by_id: dict[str, _Withdrawal] = {}

    def holders_changed(self, holder_set: claim_slots.HolderSet) -> None:
        """Send withdrawals to the disks of this set from now on."""
        self._holder_set = holder_set

    def withdraw(
        self, now: float, slot: messages.ClaimSlot, holders: abc.Set[str]
    ) -> Effects:
        """Notify these holders that the slot's attempt never runs."""
        if not holders:
            return []
        withdrawal = _Withdrawal(
            slot=slot,
            pending=set(holders),
            give_up_at=now + self._timeouts.give_up_s,
            resend_at=now + self._timeouts.resend_s,
        )
        self._withdrawals_by_id[slot.attempt_id] = withdrawal
        return self._requests(withdrawal)

    def answered(
        self, sender: str, reply: messages.ClaimWithdrawReply
    ) -> Effects:
        """Stop resending a withdrawal to a holder that confirmed it."""
        withdrawal = self._withdrawals_by_id.get(reply.attempt_id)
        if withdrawal is None:
            return []
        withdrawal.pending.discard(sender)
        if not withdrawal.pending:
            del self._withdrawals_by_id[reply.attempt_id]
        return []

    def ticked(self, now: float) -> Effects:
        """Resend unconfirmed withdrawals and drop those that timed out."""
        effects: Effects = []
        for withdrawal in list(self._withdrawals_by_id.values()):
            if now >= withdrawal.give_up_at:
                del self._withdrawals_by_id[withdrawal.slot.attempt_id]
            elif now >= withdrawal.resend_at:
                withdrawal.resend_at = now + self._timeouts.resend_s
                effects += self._requests(withdrawal)
        return effects

    def _requests(self, withdrawal: _Withdrawal) -> Effects:
        slot = withdrawal.slot
        return [
            parts.Send(
                to=holder,
                message=messages.ClaimWithdraw(
                    key=slot.key,
                    round=slot.round,
                    digest=slot.digest,
                    attempt_id=slot.attempt_id,
                    disk_id=self._holder_set.disk_id_of(holder),
                ),
            )
            for holder in sorted(withdrawal.pending)
        ]
