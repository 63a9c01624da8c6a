"""Events, effects and messages of the accounts' rates.

All of them are re-exported by :mod:`.rates`, which describes the protocol.
"""

import enum

import msgspec

from . import placement


class ChargeOutcome(enum.StrEnum):
    """How a charge was answered (a counter label)."""

    GRANTED = 'granted'
    #: The account asked for more than its rate.
    REFUSED = 'refused'
    #: Granted from this instance's own part, as no holder answered.
    GRANTED_ALONE = 'granted_alone'
    REFUSED_ALONE = 'refused_alone'


class Limit(msgspec.Struct, frozen=True, kw_only=True):
    """The rate of one account.

    :param per_s: amount per second.
    :param burst: amount that may be charged at once after a pause.
    :param window_s: the account may use ``per_s`` times this many seconds,
        plus ``burst``, in any window of this length; 0: it has a token bucket
        that holds ``burst``.
    """

    account: str
    per_s: float
    burst: float
    window_s: float = 0.0


# Events.


class SetLimits(msgspec.Struct, frozen=True, kw_only=True):
    """The limits in force; accounts that are not listed have none."""

    now: float
    limits: tuple[Limit, ...]


class SetMembers(msgspec.Struct, frozen=True, kw_only=True):
    """The instances that may hold an account's bucket.

    :param members: those that are alive.
    :param has_quorum: whether this instance heard from a majority of the
        voters lately, which no two sides of a partition both do.
    """

    now: float
    members: tuple[placement.Member, ...]
    has_quorum: bool


class Charge(msgspec.Struct, frozen=True, kw_only=True):
    """Charges an account for a request.

    :param ticket: of the :class:`.parts.Complete` whose result is a
        :class:`ChargeResult`. It always arrives, within ``MAX_WAIT_S`` and
        a tick for each instance that was asked.
    :param caller: the same if a caller repeats its request; 0 if unknown.
    """

    now: float
    ticket: str
    account: str
    amount: float
    caller: int = 0


class Refund(msgspec.Struct, frozen=True, kw_only=True):
    """Returns what a request was charged, because it did not run.

    :param granted_by: of the :class:`ChargeResult`, as the next two.
    """

    now: float
    account: str
    amount: float
    granted_by: str
    granted_in: int = 0
    used_in: int = 0


# Effects.


class ChargeResult(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a charge was granted.

    :param wait_s: seconds until the account may be charged again; 0 if it
        was granted.
    :param granted_by: the instance to which a refund goes; ``''`` if there is
        none.
    :param granted_in: the interval of that instance's window in which it was
        granted; 0 without a window.
    :param used_in: the same for the use by this instance's callers.
    """

    is_granted: bool
    wait_s: float = 0.0
    granted_by: str = ''
    granted_in: int = 0
    used_in: int = 0


class RateReached(msgspec.Struct, frozen=True, kw_only=True):
    """An account asked for more than its rate.

    :param refused: charges refused here since the last such effect.
    """

    account: str
    refused: int


class HoldersSilent(msgspec.Struct, frozen=True, kw_only=True):
    """No holder of an account answers; requests are charged here alone."""

    account: str


class HoldersAnswering(msgspec.Struct, frozen=True, kw_only=True):
    """A holder of an account answers again.

    :param silent_s: since the first charge that none answered.
    """

    account: str
    silent_s: float


# Messages.


class ChargeAsked(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a charge of an account's bucket at the receiver.

    :param ticket: identifies the answer.
    :param caller: as in :class:`Charge`.
    """

    ticket: str
    account: str
    amount: float
    caller: int = 0


class ChargeAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a :class:`ChargeAsked`, whose fields it repeats.

    :param wait_s: as in :class:`ChargeResult`; 0 if the charge was granted.
    :param granted_in: as in :class:`ChargeResult`.
    :param used: what the account has used of its window, as far as the sender
        knows.
    """

    ticket: str
    account: str
    amount: float
    wait_s: float
    granted_in: int = 0
    used: float = 0.0


class ChargeReturned(msgspec.Struct, frozen=True, kw_only=True):
    """Puts back into an account's bucket or window what was not used.

    :param granted_in: as in :class:`ChargeResult`.
    """

    account: str
    amount: float
    granted_in: int = 0


class GrantHistory(msgspec.Struct, frozen=True, kw_only=True):
    """What one start of an instance granted an account in the last window.

    :param instance_id: who granted it.
    :param start: identifies the start of that instance.
    :param version: increases with each change of the grants.
    :param sent_at: monotonic seconds of that instance at which this was sent.
        Only differences between them are used: they tell which of two
        messages was delayed for longer.
    :param unit: amount that the numbers in ``grants`` count in.
    :param grants: by intervals of ``REPORTED_INTERVALS`` in a window, the
        newest first, which contains ``sent_at``.
    """

    instance_id: str
    start: int
    version: int
    sent_at: float
    unit: float
    grants: tuple[int, ...] = ()


class GrantsReported(msgspec.Struct, frozen=True, kw_only=True):
    """Tells another holder of an account what was granted to it.

    Each message has the whole history, so that a lost one does no harm.

    :param own: what the sender granted.
    :param others: what it knows of others, in answer to ``wants_answer``.
    :param wants_answer: whether the receiver should report what it knows.
    """

    account: str
    own: GrantHistory
    others: tuple[GrantHistory, ...] = ()
    wants_answer: bool = False


#: Message classes to register with the codec.
MESSAGES = (ChargeAsked, ChargeAnswered, ChargeReturned, GrantsReported)
