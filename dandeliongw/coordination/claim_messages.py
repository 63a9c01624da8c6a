"""What the claims part takes in, gives out, sends and journals.

Durations are seconds on the clock of whoever measured them; a message never
carries a point in time. ``epoch`` counts the changes of the set of holders.
"""

from collections import abc
import enum

import msgspec


class SlotState(enum.StrEnum):
    """What a holder knows of the attempt that its slot was given to."""

    #: The attempt may run, be running or have run.
    CLAIMED = 'claimed'
    #: Its own entry said that it never ran and never will.
    WITHDRAWN = 'withdrawn'
    #: It ran; the outcome is kept, or known to be too large to keep.
    RECORDED = 'recorded'
    #: Copied from holders that disagreed; whose slot it was is lost.
    CONTESTED = 'contested'


class PutAnswer(enum.StrEnum):
    """What a holder says to a :class:`ClaimPut`."""

    GRANTED = 'granted'
    #: Another attempt has the slot, or this one's part in it has ended.
    TAKEN = 'taken'
    #: No room for a new key; old ones are never dropped early.
    FULL = 'full'
    #: Not this disk, not this epoch, or not caught up: says nothing.
    UNKNOWN = 'unknown'


class UnavailableReason(enum.StrEnum):
    """Why a claim could not be decided (a counter label)."""

    NO_HOLDERS = 'no_holders'
    HOLDERS_UNREACHABLE = 'holders_unreachable'
    HOLDERS_FULL = 'holders_full'
    #: Others claimed at the same moment, until this one's time was up.
    CONTENDED = 'contended'


# Events.


class Begin(msgspec.Struct, frozen=True, kw_only=True):
    """Claim a key for one attempt at a non-idempotent call.

    :param ticket: comes back in the ``Complete`` that ends this.
    :param key: made from account, service and idempotency key.
    :param digest: of method, path and body.
    :param attempt_id: never used before, by anyone.
    :param deadline_s: seconds that the attempt may take in all.
    """

    now: float
    ticket: str
    key: str
    digest: bytes
    attempt_id: str
    deadline_s: float


class Finish(msgspec.Struct, frozen=True, kw_only=True):
    """The granted attempt ran; record its outcome before telling it."""

    now: float
    ticket: str
    key: str
    attempt_id: str
    outcome: bytes


class Abandon(msgspec.Struct, frozen=True, kw_only=True):
    """The attempt is proved not to have run, and will not run now.

    Also for a ``Begin`` whose caller has gone; its ticket gets no answer.
    """

    now: float
    key: str
    attempt_id: str


class HoldersChanged(msgspec.Struct, frozen=True, kw_only=True):
    """The register holds another set of claim holders.

    :param disk_ids_by_holder: the set that counts now.
    :param joining: disk ids of holders that are catching up; a holder that
        is in the set already gets a new disk.
    :param epoch: 0 or more; grows with every change.
    :param leaving: holders that are not in the set to come.
    """

    now: float
    disk_ids_by_holder: abc.Mapping[str, str]
    joining: abc.Mapping[str, str]
    epoch: int
    leaving: frozenset[str] = frozenset()


# Results, carried by ``parts.Complete``.


class Granted(msgspec.Struct, frozen=True, kw_only=True):
    """This attempt, and no other, may run now."""


class Replayed(msgspec.Struct, frozen=True, kw_only=True):
    """An earlier attempt ran.

    :param outcome: what it gave, or ``None`` if that was too large to keep.
    """

    outcome: bytes | None


class InProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Another attempt may be running; this one never will."""

    retry_after_s: float


class DigestMismatch(msgspec.Struct, frozen=True, kw_only=True):
    """The key stands for another call; this one was not run."""


class OutcomeUnknown(msgspec.Struct, frozen=True, kw_only=True):
    """An earlier attempt may have run and nobody can say; none runs again."""


class ClaimsUnavailable(msgspec.Struct, frozen=True, kw_only=True):
    """Too few holders answered. This attempt never runs; an earlier may."""

    retry_after_s: float
    reason: UnavailableReason


class Recorded(msgspec.Struct, frozen=True, kw_only=True):
    """A majority keeps the outcome; the caller may have it."""


class NotRecorded(msgspec.Struct, frozen=True, kw_only=True):
    """No majority confirmed in time; a resend may not find the outcome."""


# An effect besides those of ``parts``.


class CaughtUp(msgspec.Struct, frozen=True, kw_only=True):
    """This joining holder has synced all that a majority of others holds."""

    epoch: int
    disk_id: str


# What holders keep, journal and send.


class ClaimSlot(msgspec.Struct, frozen=True, kw_only=True):
    """What one holder keeps for one key; in a round it changes hands never.

    :param round: a new one starts when no attempt can win the one before.
    :param attempt_id: empty when contested.
    :param deadline_s: how long the attempt may take.
    :param kept: false if the outcome was too large.
    """

    key: str
    round: int
    state: SlotState
    digest: bytes
    attempt_id: str
    deadline_s: float = 0.0
    outcome: bytes = b''
    kept: bool = True


class ClaimEpoch(msgspec.Struct, frozen=True, kw_only=True):
    """Journal: this holder acts under this epoch and under none before."""

    epoch: int


class ClaimCopyStarted(msgspec.Struct, frozen=True, kw_only=True):
    """Journal: all that was held before is void; a copy starts."""

    epoch: int


class ClaimsForgotten(msgspec.Struct, frozen=True, kw_only=True):
    """Journal: the retention of these keys is over."""

    keys: tuple[str, ...]


class ClaimPut(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a holder to give its slot of a key and round to an attempt.

    :param disk_id: of the recipient, as the sender knows it.
    """

    key: str
    round: int
    digest: bytes
    attempt_id: str
    deadline_s: float
    epoch: int
    disk_id: str


class ClaimPutReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answers a :class:`ClaimPut`; nothing in it is less than synced.

    :param round: of the put that is answered.
    :param slot: what the holder has, when it is taken.
    :param age_s: seconds since that slot last changed, or fewer.
    """

    key: str
    round: int
    attempt_id: str
    epoch: int
    disk_id: str
    answer: PutAnswer
    slot: ClaimSlot | None = None
    age_s: float = 0.0


class ClaimWithdraw(msgspec.Struct, frozen=True, kw_only=True):
    """An entry's word that its attempt never ran and never will."""

    key: str
    round: int
    digest: bytes
    attempt_id: str
    disk_id: str


class ClaimWithdrawReply(msgspec.Struct, frozen=True, kw_only=True):
    """The withdrawal is synced, or changes nothing here."""

    attempt_id: str


class ClaimOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a holder to keep the outcome of an attempt that ran."""

    slot: ClaimSlot
    epoch: int
    disk_id: str


class ClaimOutcomeReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answers a :class:`ClaimOutcome`, after the sync if it is stored."""

    attempt_id: str
    epoch: int
    disk_id: str
    stored: bool


class ClaimCopyRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A joining holder asks for the slots after a key, in key order."""

    epoch: int
    after_key: str


class ClaimCopied(msgspec.Struct, frozen=True, kw_only=True):
    """A slot on its way to a joining holder."""

    slot: ClaimSlot
    age_s: float


class ClaimCopyPage(msgspec.Struct, frozen=True, kw_only=True):
    """Answers a :class:`ClaimCopyRequest`; ``last`` ends the copy."""

    epoch: int
    after_key: str
    copies: tuple[ClaimCopied, ...]
    last: bool


#: Sent from instance to instance.
MESSAGES = (
    ClaimPut,
    ClaimPutReply,
    ClaimWithdraw,
    ClaimWithdrawReply,
    ClaimOutcome,
    ClaimOutcomeReply,
    ClaimCopyRequest,
    ClaimCopyPage,
)

#: Written to the journal.
RECORDS = (ClaimSlot, ClaimEpoch, ClaimCopyStarted, ClaimsForgotten)
