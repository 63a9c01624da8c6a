"""How the owner of a cell turns work away, and when to come back."""

import math

import xxhash

from ..verdict import RefusalReason
from .policy import Decline
from .policy import DEFAULT_RETRY_AFTER_S
from .vocabulary import Booking
from .vocabulary import Stage

#: Shortest Retry-After. Bunches of work last for seconds; who comes back
#: within one is turned away again, for good.
LEAST_RETRY_AFTER_S = 1.5
#: Longest, however much is ahead.
MOST_RETRY_AFTER_S = 30.0
#: Retry-After is stretched by up to this part, so that those who were
#: refused together don't come back together.
RETRY_JITTER = 0.5


def full(booking: Booking) -> Decline:
    """No slot is free, and none is waited for."""
    role = 'plain' if booking.stage is Stage.PLAIN else 'decode'
    return Decline(
        reason=RefusalReason.NO_CAPACITY,
        message=f'every slot of the {role} backend servers is taken',
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def over_share(booking: Booking) -> Decline:
    """An account has what it is due, and others wait."""
    return Decline(
        reason=RefusalReason.ACCOUNT_LIMIT,
        message=(
            f'account {booking.account!r} has its share of a full service'
        ),
        retry_after_s=_retry_after(booking, DEFAULT_RETRY_AFTER_S),
    )


def late(booking: Booking, late_s: float) -> Decline:
    """Work would start so many seconds past its latest start."""
    return Decline(
        reason=RefusalReason.TARGET_UNREACHABLE,
        message=f'the first token would be {late_s:.1f} s late',
        retry_after_s=_retry_after(booking, late_s),
    )


def waited(booking: Booking) -> Decline:
    """Work was queued up to its latest start."""
    return Decline(
        reason=RefusalReason.TARGET_UNREACHABLE,
        message='no backend server had room while it could still wait',
        retry_after_s=_retry_after(booking, 0.0),
    )


def _retry_after(booking: Booking, late_s: float) -> float:
    """Return when to come back: once what is ahead now should be done."""
    # The identity stands in for a random number, which a reducer must not
    # draw; callers who were refused together have different ones.
    digest = xxhash.xxh32_intdigest(booking.request_id.encode())
    stretch = 1.0 + RETRY_JITTER * digest / 2**32
    if math.isinf(late_s):
        # No end can be foreseen; backend servers that are left out are tried
        # again within seconds.
        late_s = LEAST_RETRY_AFTER_S
    wanted_s = (late_s + LEAST_RETRY_AFTER_S) * stretch
    return min(wanted_s, MOST_RETRY_AFTER_S)
