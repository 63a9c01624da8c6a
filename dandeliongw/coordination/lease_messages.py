"""Messages, journal records, events and effects of the lease part.

Times are seconds of the sender's monotonic clock. A receiver only returns
another instance's times; it never compares them with its own clock.
"""

import enum

import msgspec


class LeaseOutcome(enum.IntEnum):
    """A grantor's answer to a claim; all but the first are refusals.

    ``GRANTED`` is zero, which takes no bytes on the wire. The names are the
    labels of the answer counter.
    """

    GRANTED = 0
    #: Another holder's grant has not expired.
    HELD = 1
    #: A higher epoch was granted, or this one to another holder; the answer
    #: has the highest epoch granted.
    OLD_EPOCH = 2
    #: The claim is made under a set of grantors that has been replaced.
    OLD_VERSION = 3
    #: The grantor restarted, and earlier grants may not have expired.
    WAITING_OUT = 4
    #: The grantor has no records and has not read the others' epochs.
    NOT_CAUGHT_UP = 5
    #: The claimed duration is longer than the grantor would wait out.
    TOO_LONG = 6
    #: The holder has released this lease; the claim arrived late.
    RELEASED = 7


class LeaseClaim(msgspec.Struct, frozen=True, kw_only=True):
    """A request, a renewal, or with epoch 0 a probe without effect."""

    name: str
    epoch: int


class LeaseClaims(msgspec.Struct, frozen=True, kw_only=True):
    """All claims that an instance sends to a grantor at one time.

    :param version: of the set of grantors that the sender uses.
    :param life: random number of this start of the sender; two starts of
        one instance are two holders.
    :param asked_at: send time by the sender's clock; returned in the answer.
    :param duration_s: length of the lease in seconds.
    """

    version: int
    life: int
    asked_at: float
    duration_s: float
    claims: tuple[LeaseClaim, ...]


class LeaseAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of one claim.

    :param highest: highest epoch granted; 0 if a request or renewal is
        granted.
    :param holder: holder of the last grant, in a refusal or an answer to a
        probe; otherwise empty.
    :param remaining_s: seconds until the cause of a refusal ends.
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
    """The sender has permanently stopped using this epoch.

    :param successor: instance to notify, or empty.
    """

    life: int
    name: str
    epoch: int
    successor: str = ''


class LeaseVacant(msgspec.Struct, frozen=True, kw_only=True):
    """A grantor notifies a candidate that ``epoch`` was released."""

    name: str
    epoch: int


class LeaseEpochsWanted(msgspec.Struct, frozen=True, kw_only=True):
    """A grantor that catches up reads another grantor's epochs.

    :param version: the receiver refuses claims under an older version from
        now on, so that the read misses no later grant.
    :param reading: id of this read; returned in the answer.
    """

    version: int
    reading: int


class LeaseGranted(msgspec.Struct, frozen=True, kw_only=True):
    """Journal record: the highest epoch granted for a name, and to whom.

    :param duration_s: longest renewal of the grant, in seconds.
    """

    name: str
    epoch: int
    holder: str
    life: int
    duration_s: float


class LeaseReady(msgspec.Struct, frozen=True, kw_only=True):
    """Journal record: this journal's epochs are complete.

    A journal without this record is new or was lost; its grantor refuses all
    claims.
    """

    version: int


class LeaseEpochs(msgspec.Struct, frozen=True, kw_only=True):
    """A grantor's records, sent to a grantor that catches up.

    :param ready: whether the sender's own records are complete.
    """

    reading: int
    ready: bool
    records: tuple[LeaseGranted, ...]


class Wanted(msgspec.Struct, frozen=True, kw_only=True):
    """Event: the names that this instance is to hold or try to hold.

    A held name that is not among them is released.
    """

    now: float
    names: frozenset[str]


class Release(msgspec.Struct, frozen=True, kw_only=True):
    """Event: release a lease at once, to ``successor`` if one is given.

    The name is not requested again until a :class:`Wanted` includes it.
    """

    now: float
    name: str
    successor: str | None = None


class RenewalOverdue(msgspec.Struct, frozen=True, kw_only=True):
    """Event: renew the held leases now, as the next tick may come late."""

    now: float


class GrantorsChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Event: the voters that grant leases.

    :param grantors: instance ids of the current set.
    :param joining: the whole set that is to replace it during a change; a
        claim then needs a majority of both sets.
    :param version: increases with each change of either set.
    """

    now: float
    grantors: tuple[str, ...]
    joining: tuple[str, ...] = ()
    version: int = 0


class GrantorsFormed(msgspec.Struct, frozen=True, kw_only=True):
    """Event: the first voters of a new system start with empty journals.

    Only for a set that has never granted a lease. If a grantor that lost its
    disk handled this event, an epoch could be granted twice.
    """

    now: float


class LeaseGained(msgspec.Struct, frozen=True, kw_only=True):
    """Effect: this instance now holds the lease."""

    name: str
    epoch: int


class LeaseLost(msgspec.Struct, frozen=True, kw_only=True):
    """Effect: this instance no longer holds the lease, for any reason.

    :param is_unheard: it expired while no grantor answered, so another
        instance is unlikely to hold it.
    """

    name: str
    epoch: int
    is_unheard: bool = False


class GrantorCaughtUp(msgspec.Struct, frozen=True, kw_only=True):
    """Effect: this grantor is ready under the set of this version.

    A change of voters may finish only when a majority of the new set has
    produced this effect.
    """

    version: int


#: Messages between instances.
MESSAGES = (
    LeaseClaims,
    LeaseAnswers,
    LeaseRelease,
    LeaseVacant,
    LeaseEpochsWanted,
    LeaseEpochs,
)
#: Journal records.
RECORDS = (LeaseGranted, LeaseReady)
