"""Refusals by the owner of a cell, and their Retry-After."""

import math

import xxhash

from . import shares
from ..verdict import RefusalReason
from .cell_messages import Book
from .cell_types import Booking
from .cell_types import Stage
from .policy import Decline
from .policy import DEFAULT_RETRY_AFTER_S

#: Shortest Retry-After, in seconds. Bursts last for seconds; a retry within
#: the same burst is refused again, for good.
SHORTEST_RETRY_AFTER_S = 1.5
#: Longest Retry-After, in seconds, however long the queue.
LONGEST_RETRY_AFTER_S = 30.0
#: Retry-After of streams that can't go on, in seconds: a version that has
#: left seldom comes back, and callers do better to begin anew.
LOST_STREAM_RETRY_S = 5.0
#: Jitter: Retry-After is lengthened by up to this part, so that clients that
#: were refused together don't retry together.
RETRY_JITTER = 0.5


def several_versions() -> Decline:
    """Return the refusal of a stream that doesn't say what began it."""
    return Decline(
        reason=RefusalReason.STREAM_UNKNOWN,
        message=(
            'the call takes up a stream and does not name the call that began '
            'it, and the decode engines have several software versions'
        ),
        retry_after_s=LOST_STREAM_RETRY_S,
    )


def exceeds_memory(booking: Booking, most_tokens: float) -> Decline:
    """Return the refusal of a prompt that no engine can hold.

    Another try is of no use until the document or the engines change.

    :param most_tokens: what an engine can hold.
    """
    return Decline(
        reason=RefusalReason.EXCEEDS_MEMORY,
        message=(
            f'the prompt has {booking.prompt_tokens} tokens, and an engine of '
            f'the service can hold {most_tokens:.0f} tokens'
        ),
        retry_after_s=LONGEST_RETRY_AFTER_S,
    )


def version_gone(software_version: str) -> Decline:
    """Return the refusal if nothing can go on with a stream."""
    return Decline(
        reason=RefusalReason.VERSION_GONE,
        message=(
            f'no decode engine of software version {software_version!r}, '
            'which began the stream, takes work'
        ),
        retry_after_s=LOST_STREAM_RETRY_S,
    )


def full(booking: Booking) -> Decline:
    """Return the refusal if no slot is free and the work can't be queued."""
    role = 'plain' if booking.stage is Stage.PLAIN else 'decode'
    return Decline(
        reason=RefusalReason.NO_CAPACITY,
        message=f'every slot of the {role} backend servers is taken',
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def rate_limited(booking: Booking, wait_s: float) -> Decline:
    """Return the refusal if limits or rests allow a request too late.

    :param wait_s: seconds until they allow one.
    """
    return Decline(
        reason=RefusalReason.BACKENDS_LIMITED,
        message=(
            'all backend servers limit their rate or rest, the next request '
            f'may be sent in {wait_s:.1f} s'
        ),
        retry_after_s=_retry_after(booking, wait_s),
    )


def owner_late(book: Book, lag_s: float) -> Decline:
    """Return the refusal by an owner that is late with its work.

    :param lag_s: from which delay it declines work, in seconds.
    """
    return Decline(
        reason=RefusalReason.NO_CAPACITY,
        message='the owner of the cell is late and declines new work',
        retry_after_s=_retry_after(book, lag_s),
    )


def over_share(booking: Booking, excess: shares.Excess) -> Decline:
    """Return the refusal if an account exceeds its share of a full cell."""
    return Decline(
        reason=RefusalReason.NO_CAPACITY,
        message=(
            f'account {booking.account!r} has {excess.factor:.1f} times its '
            f'share of a full service, bound by {excess.resource.value}'
        ),
        retry_after_s=_retry_after(booking, DEFAULT_RETRY_AFTER_S),
    )


def late(booking: Booking, late_s: float) -> Decline:
    """Return the refusal if work would start after its latest start.

    :param late_s: by how many seconds; infinite if no start can be predicted.
    """
    return Decline(
        reason=RefusalReason.TARGET_UNREACHABLE,
        message=f'the first token would be {late_s:.1f} s late',
        retry_after_s=_retry_after(booking, late_s),
    )


def waited(booking: Booking) -> Decline:
    """Return the refusal if work was queued until its latest start."""
    return Decline(
        reason=RefusalReason.TARGET_UNREACHABLE,
        message='no backend server had room while it could still wait',
        retry_after_s=_retry_after(booking, 0.0),
    )


def _retry_after(booking: Booking | Book, late_s: float) -> float:
    """Return a Retry-After by which the present queue should be done."""
    # A reducer must be deterministic, so the jitter is a hash of the request
    # id. Requests that were refused together have different ids.
    digest = xxhash.xxh32_intdigest(booking.request_id.encode())
    stretch = 1.0 + RETRY_JITTER * digest / 2**32
    if math.isinf(late_s):
        # No start can be predicted; ejected backend servers are tried again
        # within seconds.
        late_s = SHORTEST_RETRY_AFTER_S
    wanted_s = (late_s + SHORTEST_RETRY_AFTER_S) * stretch
    return min(wanted_s, LONGEST_RETRY_AFTER_S)
