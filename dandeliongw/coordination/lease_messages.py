"""What the lease part says to its peers, to its journal and to its owner.

Times are seconds of the sender's own monotonic clock. A receiver only ever
echoes another instance's time; it never compares it with its own.
"""

import enum

import msgspec


class LeaseOutcome(enum.IntEnum):
    """A grantor's answer to a claim; all but the first are refusals.

    Granted is zero, which takes no byte on the wire. The names are the
    labels of the refusal counter.
    """

    GRANTED = 0
    #: Another holder's grant stands.
    HELD = 1
    #: The epoch is not above the highest one granted; the answer names it.
    OLD_EPOCH = 2
    #: The claim counts on a set of grantors that has been replaced.
    OLD_VERSION = 3
    #: The grantor restarted and can't know which grants still stand.
    WAITING_OUT = 4
    #: The grantor has no disk contents and hasn't read the others' epochs.
    NOT_CAUGHT_UP = 5
    #: The claim asks for more time than the grantor would wait out.
    TOO_LONG = 6
    #: The claim crossed the release of the same lease.
    RELEASED = 7


class LeaseClaim(msgspec.Struct, frozen=True, kw_only=True):
    """An ask, a renewal, or with epoch 0 a probe that changes nothing."""

    name: str
    epoch: int


class LeaseClaims(msgspec.Struct, frozen=True, kw_only=True):
    """All that one instance claims from one grantor at one time.

    :param version: of the set of grantors whose majority the sender counts.
    :param life: random number of this start of the sender; two starts of
        one instance are two holders.
    :param asked_at: the sender's clock; the answer carries it back.
    """

    version: int
    life: int
    asked_at: float
    duration_s: float
    claims: tuple[LeaseClaim, ...]


class LeaseAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of one claim.

    :param highest: highest epoch granted; 0 in an answer to a renewal.
    :param holder: whose grant was the last, in a refusal; else empty.
    :param remaining_s: how long the cause of a refusal will last.
    """

    name: str
    epoch: int
    outcome: LeaseOutcome
    highest: int = 0
    holder: str = ''
    remaining_s: float = 0.0


class LeaseAnswers(msgspec.Struct, frozen=True, kw_only=True):
    """The outcomes of one :class:`LeaseClaims`."""

    version: int
    life: int
    asked_at: float
    answers: tuple[LeaseAnswer, ...]


class LeaseRelease(msgspec.Struct, frozen=True, kw_only=True):
    """The sender no longer uses this epoch and never will again.

    :param successor: instance to tell, or empty.
    """

    life: int
    name: str
    epoch: int
    successor: str = ''


class LeaseVacant(msgspec.Struct, frozen=True, kw_only=True):
    """A grantor tells a named successor that ``epoch`` was released."""

    name: str
    epoch: int


class LeaseEpochsWanted(msgspec.Struct, frozen=True, kw_only=True):
    """A grantor without memory reads another's epochs.

    :param version: the receiver refuses claims under an older one from now
        on, so that no grant can slip in behind the read.
    """

    version: int
    reading: int


class LeaseGranted(msgspec.Struct, frozen=True, kw_only=True):
    """Journal record: the highest epoch granted for a name, and to whom.

    :param duration_s: longest time that the grant may be renewed for.
    """

    name: str
    epoch: int
    holder: str
    life: int
    duration_s: float


class LeaseReady(msgspec.Struct, frozen=True, kw_only=True):
    """Journal record: this journal's epochs are complete.

    A journal without it is new or was lost, and grants nothing.
    """

    version: int


class LeaseEpochs(msgspec.Struct, frozen=True, kw_only=True):
    """A grantor's records, read by one that catches up.

    :param ready: whether the sender's own records are complete.
    """

    reading: int
    ready: bool
    records: tuple[LeaseGranted, ...]


class Wanted(msgspec.Struct, frozen=True, kw_only=True):
    """Event: the names that this instance should hold or try to hold.

    A held name that is missing is released.
    """

    now: float
    names: frozenset[str]


class Release(msgspec.Struct, frozen=True, kw_only=True):
    """Event: give a lease up, quickly, to ``successor`` if one is named.

    The name is no longer wanted until a :class:`Wanted` says so again.
    """

    now: float
    name: str
    successor: str | None = None


class GrantorsChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Event: the voters that grant leases.

    :param grantors: instance ids of the set in force.
    :param joining: the whole set that is to replace it, while a change runs;
        a claim then needs a majority of both.
    :param version: grows with each change of either set.
    """

    now: float
    grantors: tuple[str, ...]
    joining: tuple[str, ...] = ()
    version: int = 0


class GrantorsFormed(msgspec.Struct, frozen=True, kw_only=True):
    """Event: the first voters of a new system start with empty journals.

    Only for a set that has never granted anything. Telling it to a grantor
    whose disk was lost would let an epoch be granted twice.
    """

    now: float


class LeaseGained(msgspec.Struct, frozen=True, kw_only=True):
    """Effect: this instance holds the lease from now on."""

    name: str
    epoch: int


class LeaseLost(msgspec.Struct, frozen=True, kw_only=True):
    """Effect: this instance stopped holding the lease, for any cause.

    :param is_unheard: it ran out while no grantor at all was heard, so that
        nobody else is likely to hold it.
    """

    name: str
    epoch: int
    is_unheard: bool = False


class GrantorCaughtUp(msgspec.Struct, frozen=True, kw_only=True):
    """Effect: this grantor is ready under the set of this version.

    A change of voters may finish only when a majority of the new set has
    said so.
    """

    version: int


#: What goes between instances.
MESSAGES = (
    LeaseClaims,
    LeaseAnswers,
    LeaseRelease,
    LeaseVacant,
    LeaseEpochsWanted,
    LeaseEpochs,
)
#: What goes to the journal.
RECORDS = (LeaseGranted, LeaseReady)
