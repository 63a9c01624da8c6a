"""Replicates outcomes to a majority of the claim holders."""

import typing

import msgspec

from . import claim_messages as messages
from . import claim_slots
from . import claim_timeouts
from . import parts

Effects = list[typing.Any]
Result = typing.Any


class _Recording(msgspec.Struct, kw_only=True):
    """An outcome being replicated for one ticket.

    :param result: completes the ticket once a majority stores the outcome.
    :param failure: completes it at ``give_up_at``.
    :param stored: holders that confirmed the outcome in this epoch.
    """

    ticket: str
    slot: messages.ClaimSlot
    result: Result
    failure: Result
    give_up_at: float
    resend_at: float
    stored: set[str] = msgspec.field(default_factory=set)


class Outcomes:
    """Sends outcomes to the holders until a majority has synced them.

    :param timeouts: timeout and resend interval.
    """

    def __init__(self, *, timeouts: claim_timeouts.ClaimTimeouts) -> None:
        self._timeouts = timeouts
        self._holder_set = claim_slots.NO_HOLDERS
        self._recordings_by_ticket: dict[str, _Recording] = {}
        #: Several tickets may wait for the same outcome to be written back.
        self._tickets_by_attempt_id: dict[str, set[str]] = {}

    def record(
        self,
        now: float,
        ticket: str,
        slot: messages.ClaimSlot,
        *,
        result: Result,
        failure: Result,
    ) -> Effects:
        """Send an outcome to every holder.

        :param ticket: completed with ``result`` or ``failure``.
        :param slot: the slot with the outcome.
        :param result: returned once a majority stores the outcome.
        :param failure: returned if the timeout passes before that.
        """
        recording = _Recording(
            ticket=ticket,
            slot=slot,
            result=result,
            failure=failure,
            give_up_at=now + self._timeouts.give_up_s,
            resend_at=now + self._timeouts.resend_s,
        )
        self._recordings_by_ticket[ticket] = recording
        tickets = self._tickets_by_attempt_id.setdefault(
            slot.attempt_id, set()
        )
        tickets.add(ticket)
        return self._requests(recording)

    def answered(
        self, sender: str, reply: messages.ClaimOutcomeReply
    ) -> Effects:
        """Count a holder that has stored an outcome."""
        if not reply.stored:
            return []
        if not self._holder_set.is_current_reply(
            sender, reply.epoch, reply.disk_id
        ):
            return []
        effects: Effects = []
        tickets = self._tickets_by_attempt_id.get(reply.attempt_id, ())
        for ticket in sorted(tickets):
            recording = self._recordings_by_ticket[ticket]
            recording.stored.add(sender)
            if self._holder_set.is_majority(recording.stored):
                effects += self._end(recording, recording.result)
        return effects

    def holders_changed(self, holder_set: claim_slots.HolderSet) -> Effects:
        """Send all outcomes again under the new epoch.

        Confirmations from different epochs must not be added up.
        """
        self._holder_set = holder_set
        effects: Effects = []
        for recording in self._recordings_by_ticket.values():
            recording.stored.clear()
            effects += self._requests(recording)
        return effects

    def ticked(self, now: float) -> Effects:
        """Resend unconfirmed outcomes and fail those that timed out."""
        effects: Effects = []
        for recording in list(self._recordings_by_ticket.values()):
            if now >= recording.give_up_at:
                effects += self._end(recording, recording.failure)
            elif now >= recording.resend_at:
                recording.resend_at = now + self._timeouts.resend_s
                effects += self._requests(recording)
        return effects

    def _end(self, recording: _Recording, result: Result) -> Effects:
        attempt_id = recording.slot.attempt_id
        tickets = self._tickets_by_attempt_id[attempt_id]
        tickets.discard(recording.ticket)
        if not tickets:
            del self._tickets_by_attempt_id[attempt_id]
        del self._recordings_by_ticket[recording.ticket]
        return [parts.Complete(ticket=recording.ticket, result=result)]

    def _requests(self, recording: _Recording) -> Effects:
        return [
            parts.Send(
                to=holder,
                message=messages.ClaimOutcome(
                    slot=recording.slot,
                    epoch=self._holder_set.epoch,
                    disk_id=self._holder_set.disk_id_of(holder),
                ),
            )
            for holder in sorted(self._holder_set.holders - recording.stored)
        ]
