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
    """

    account: str
    per_s: float
    burst: float


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
    """

    now: float
    ticket: str
    account: str
    amount: float


class Refund(msgspec.Struct, frozen=True, kw_only=True):
    """Returns what a request was charged, because it did not run.

    :param granted_by: of the :class:`ChargeResult`.
    """

    now: float
    account: str
    amount: float
    granted_by: str


# Effects.


class ChargeResult(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a charge was granted.

    :param wait_s: seconds until the account may be charged again; 0 if it
        was granted.
    :param granted_by: the instance to which a refund goes; ``''`` if there is
        none.
    """

    is_granted: bool
    wait_s: float = 0.0
    granted_by: str = ''


class RateReached(msgspec.Struct, frozen=True, kw_only=True):
    """An account asked for more than its rate.

    :param refused: charges refused here since the last such effect.
    """

    account: str
    refused: int


# Messages.


class ChargeAsked(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a charge of an account's bucket at the receiver.

    :param ticket: identifies the answer.
    """

    ticket: str
    account: str
    amount: float


class ChargeAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a :class:`ChargeAsked`, whose fields it repeats.

    :param wait_s: as in :class:`ChargeResult`; 0 if the charge was granted.
    """

    ticket: str
    account: str
    amount: float
    wait_s: float


class ChargeReturned(msgspec.Struct, frozen=True, kw_only=True):
    """Puts back into an account's bucket what was not used."""

    account: str
    amount: float


#: Message classes to register with the codec.
MESSAGES = (ChargeAsked, ChargeAnswered, ChargeReturned)
