"""Events, results, messages and journal records of the claims part.

Durations are seconds, measured by the sender's clock; no message carries a
point in time. ``epoch`` counts the changes of the set of holders. The entry
is the instance that accepted the client's call.
"""

from collections import abc
import enum

import msgspec


class SlotState(enum.StrEnum):
    """State of the attempt that a holder's slot is assigned to."""

    #: The attempt may run later, be running or have run.
    CLAIMED = 'claimed'
    #: The attempt's entry reported that it did not and will not run.
    WITHDRAWN = 'withdrawn'
    #: The attempt ran; its outcome is stored, or was too large to store.
    RECORDED = 'recorded'
    #: Copied from holders that disagreed; the owner of the slot is lost.
    CONTESTED = 'contested'


class PutAnswer(enum.StrEnum):
    """A holder's answer to a :class:`ClaimPut`."""

    GRANTED = 'granted'
    #: Assigned to another attempt, or this one is withdrawn or recorded.
    TAKEN = 'taken'
    #: No room for a new key; old keys are never evicted early.
    FULL = 'full'
    #: Wrong disk or epoch, or not caught up: counts neither way.
    UNKNOWN = 'unknown'


class UnavailableReason(enum.StrEnum):
    """Why a claim could not be decided (a counter label)."""

    NO_HOLDERS = 'no_holders'
    HOLDERS_UNREACHABLE = 'holders_unreachable'
    HOLDERS_FULL = 'holders_full'
    #: Concurrent claims split the vote until this one timed out.
    CONTENDED = 'contended'


# Events.


class Begin(msgspec.Struct, frozen=True, kw_only=True):
    """Claim a key for one attempt at a non-idempotent call.

    :param ticket: returned in the ``Complete`` that ends this request.
    :param key: derived from account, service and idempotency key.
    :param digest: hash of method, path and body.
    :param attempt_id: globally unique.
    :param deadline_s: most seconds that the attempt may take in total.
    """

    now: float
    ticket: str
    key: str
    digest: bytes
    attempt_id: str
    deadline_s: float


class Finish(msgspec.Struct, frozen=True, kw_only=True):
    """A granted attempt ran; record its outcome before answering."""

    now: float
    ticket: str
    key: str
    attempt_id: str
    outcome: bytes


class Abandon(msgspec.Struct, frozen=True, kw_only=True):
    """The attempt certainly did not run, and will not run.

    Also cancels a ``Begin`` whose caller disconnected; its ticket gets no
    ``Complete``.
    """

    now: float
    key: str
    attempt_id: str


class HoldersChanged(msgspec.Struct, frozen=True, kw_only=True):
    """The set of claim holders in the register changed.

    :param disk_ids_by_holder: disk ids of the current set.
    :param joining: disk ids of holders that are catching up; for a holder of
        the current set, the id of its new disk.
    :param epoch: 0 or more; increases with every change.
    :param leaving: holders that are not in the next set.
    """

    now: float
    disk_ids_by_holder: abc.Mapping[str, str]
    joining: abc.Mapping[str, str]
    epoch: int
    leaving: frozenset[str] = frozenset()


# Results, carried by ``parts.Complete``.


class Granted(msgspec.Struct, frozen=True, kw_only=True):
    """This attempt may run now, and no other attempt may."""


class Replayed(msgspec.Struct, frozen=True, kw_only=True):
    """An earlier attempt ran.

    :param outcome: its outcome, or ``None`` if that was too large to store.
    """

    outcome: bytes | None


class InProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Another attempt may be running; this one never runs."""

    retry_after_s: float


class DigestMismatch(msgspec.Struct, frozen=True, kw_only=True):
    """The key was used for a different call; this attempt never runs."""


class OutcomeUnknown(msgspec.Struct, frozen=True, kw_only=True):
    """An earlier attempt may have run, with unknown outcome; no rerun."""


class ClaimsUnavailable(msgspec.Struct, frozen=True, kw_only=True):
    """The claim was not decided; this attempt never runs.

    An earlier attempt with the same key may have run. ``reason`` has the
    cause.
    """

    retry_after_s: float
    reason: UnavailableReason


class Recorded(msgspec.Struct, frozen=True, kw_only=True):
    """A majority stores the outcome; it may be sent to the caller."""


class NotRecorded(msgspec.Struct, frozen=True, kw_only=True):
    """No majority confirmed in time; a retry may not find the outcome."""


# An effect in addition to those of ``parts``.


class CaughtUp(msgspec.Struct, frozen=True, kw_only=True):
    """This joining holder has copied and synced a majority's slots."""

    epoch: int
    disk_id: str


# Stored slots, journal records and messages.


class ClaimSlot(msgspec.Struct, frozen=True, kw_only=True):
    """One holder's state of one key.

    Within a round, a slot is never reassigned to another attempt.

    :param round: incremented when no attempt can win the previous round.
    :param attempt_id: empty if contested.
    :param deadline_s: most seconds that the attempt may take.
    :param outcome: empty if there is none or it was too large.
    :param kept: false if the outcome was too large to store.
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
    """Journal record: messages of earlier epochs are refused from here."""

    epoch: int


class ClaimCopyStarted(msgspec.Struct, frozen=True, kw_only=True):
    """Journal record: all earlier slots are void; a copy starts."""

    epoch: int


class ClaimsForgotten(msgspec.Struct, frozen=True, kw_only=True):
    """Journal record: these keys are evicted; their retention ended."""

    keys: tuple[str, ...]


class ClaimPut(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a holder's slot of a key and round for an attempt.

    :param disk_id: of the recipient, according to the sender's set.
    """

    key: str
    round: int
    digest: bytes
    attempt_id: str
    deadline_s: float
    epoch: int
    disk_id: str


class ClaimPutReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answers a :class:`ClaimPut`; reports synced state only.

    :param round: of the answered put.
    :param slot: the stored slot, if ``answer`` is ``TAKEN``.
    :param age_s: seconds since that slot last changed; too low after a
        restart of the holder.
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
    """An entry reports that its attempt did not and will not run."""

    key: str
    round: int
    digest: bytes
    attempt_id: str
    disk_id: str


class ClaimWithdrawReply(msgspec.Struct, frozen=True, kw_only=True):
    """The withdrawal is synced, or did not change the slot."""

    attempt_id: str


class ClaimOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Requests that a holder store the outcome of an attempt."""

    slot: ClaimSlot
    epoch: int
    disk_id: str


class ClaimOutcomeReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answers a :class:`ClaimOutcome`; ``stored`` means synced."""

    attempt_id: str
    epoch: int
    disk_id: str
    stored: bool


class ClaimCopyRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A joining holder requests the slots after a key, in key order."""

    epoch: int
    after_key: str


class ClaimCopied(msgspec.Struct, frozen=True, kw_only=True):
    """One slot of a page, with its age in seconds."""

    slot: ClaimSlot
    age_s: float


class ClaimCopyPage(msgspec.Struct, frozen=True, kw_only=True):
    """Answers a :class:`ClaimCopyRequest`; ``last`` marks the last page."""

    epoch: int
    after_key: str
    copies: tuple[ClaimCopied, ...]
    last: bool


#: Messages between instances.
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

#: Journal records.
RECORDS = (ClaimSlot, ClaimEpoch, ClaimCopyStarted, ClaimsForgotten)
