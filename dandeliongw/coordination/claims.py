"""Claims: at-most-once execution of non-idempotent calls.

The claim holders are the replicas that store claims on disk. An attempt may
run once a majority of them has synced a slot that assigns the idempotency
key to this attempt. ``docs/CLAIMS.md`` explains why this is safe, and which
transition of ``specs/claims_spec.py`` each function implements.
"""

from collections import abc
import typing

from . import claim_attempts
from . import claim_holder
from . import claim_messages as messages
from . import claim_slots
from . import claim_timeouts
from . import parts
from .claim_messages import Abandon
from .claim_messages import Begin
from .claim_messages import CaughtUp
from .claim_messages import ClaimsUnavailable
from .claim_messages import DigestMismatch
from .claim_messages import Finish
from .claim_messages import Granted
from .claim_messages import HoldersChanged
from .claim_messages import InProgress
from .claim_messages import MESSAGES
from .claim_messages import NotRecorded
from .claim_messages import OutcomeUnknown
from .claim_messages import Recorded
from .claim_messages import RECORDS
from .claim_messages import Replayed
from .claim_messages import UnavailableReason

__all__ = [
    'Abandon',
    'Begin',
    'CaughtUp',
    'Claims',
    'ClaimsUnavailable',
    'DigestMismatch',
    'Finish',
    'Granted',
    'HoldersChanged',
    'InProgress',
    'MESSAGES',
    'NotRecorded',
    'OutcomeUnknown',
    'RECORDS',
    'Recorded',
    'Replayed',
    'UnavailableReason',
]

Effects = list[typing.Any]


class Claims:
    """Claims keys for local callers; stores claims if it has a disk.

    :param instance_id: id of this instance.
    :param is_holder: whether this instance stores claims on its disk.
    :param disk_id: generated once for each empty disk; ``None`` if this
        instance is not a holder.
    :param retention_s: seconds during which callers may resend a key.
    :param max_records: most keys that a holder stores; when it is full, new
        keys are refused.
    :param max_outcome_bytes: of a larger outcome, only the fact that the
        attempt ran is stored.
    :param round_trip_s: expected seconds for a round trip to a holder,
        including its disk sync.
    :raises ValueError: if a holder has no ``disk_id``.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        is_holder: bool,
        disk_id: str | None,
        retention_s: float,
        max_records: int,
        max_outcome_bytes: int,
        round_trip_s: float,
    ) -> None:
        timeouts = claim_timeouts.ClaimTimeouts(round_trip_s=round_trip_s)
        self._attempts = claim_attempts.Attempts(
            timeouts=timeouts,
            max_outcome_bytes=max_outcome_bytes,
            retention_s=retention_s,
        )
        self._holder: claim_holder.Holder | None = None
        if not is_holder:
            return
        if not disk_id:
            raise ValueError(f'holder {instance_id!r} needs a disk_id')
        self._holder = claim_holder.Holder(
            instance_id=instance_id,
            disk_id=disk_id,
            retention_s=retention_s,
            max_records=max_records,
            resend_s=timeouts.resend_s,
        )

    def handle(self, event: typing.Any) -> Effects:
        """Apply one event and return the effects to perform.

        :raises TypeError: for an event or message of another part.
        """
        if self._holder is not None:
            self._holder.start_clock(event.now)
        match event:
            case parts.Received():
                return self._received(event)
            case parts.Persisted():
                return self._persisted(event.token)
            case parts.Ticked():
                return self._ticked(event.now)
            case messages.Begin():
                return self._attempts.begin(event)
            case messages.Finish():
                return self._attempts.finish(event)
            case messages.Abandon():
                return self._attempts.abandon(event)
            case messages.HoldersChanged():
                return self._holders_changed(event)
        raise TypeError(
            f'claims do not handle events of type {type(event).__name__}'
        )

    def restore(self, record: typing.Any) -> None:
        """Replay one journal record."""
        if self._holder is not None:
            self._holder.restore(record)

    def snapshot(self) -> abc.Sequence[typing.Any]:
        """Return the journal records that restore the current state."""
        if self._holder is None:
            return []
        return self._holder.snapshot()

    def _persisted(self, token: str) -> Effects:
        if self._holder is None:
            return []
        return self._holder.persisted(token)

    def _received(self, event: parts.Received) -> Effects:
        message = event.message
        match message:
            case messages.ClaimPutReply():
                return self._attempts.put_answered(
                    event.now, event.sender, message
                )
            case messages.ClaimOutcomeReply():
                return self._attempts.outcome_answered(event.sender, message)
            case messages.ClaimWithdrawReply():
                return self._attempts.withdrawal_answered(
                    event.sender, message
                )
        if self._holder is None:
            return []
        return self._received_by_holder(event, self._holder)

    def _received_by_holder(
        self, event: parts.Received, holder: claim_holder.Holder
    ) -> Effects:
        now, sender, message = event.now, event.sender, event.message
        match message:
            case messages.ClaimPut():
                return holder.put(now, sender, message)
            case messages.ClaimOutcome():
                return holder.record(now, sender, message)
            case messages.ClaimWithdraw():
                return holder.withdraw(now, sender, message)
            case messages.ClaimCopyRequest():
                return holder.copy_requested(now, sender, message)
            case messages.ClaimCopyPage():
                return holder.page_received(now, sender, message)
        raise TypeError(
            f'claims do not handle messages of type {type(message).__name__}'
        )

    def _ticked(self, now: float) -> Effects:
        effects = self._attempts.ticked(now)
        if self._holder is not None:
            effects += self._holder.ticked(now)
        return effects

    def _holders_changed(self, event: messages.HoldersChanged) -> Effects:
        holder_set = claim_slots.HolderSet(
            epoch=event.epoch,
            disk_ids_by_holder=dict(event.disk_ids_by_holder),
            joining=dict(event.joining),
            leaving=frozenset(event.leaving),
        )
        effects = self._attempts.holders_changed(event.now, holder_set)
        if self._holder is not None:
            effects += self._holder.holders_changed(event.now, holder_set)
        return effects
