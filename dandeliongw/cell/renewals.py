"""Renewals of queued bookings, all those of an entry in one message."""

from collections import abc
import typing

import msgspec

from . import cell_messages
from ..coordination import parts
from .cell_types import Booking
from .cell_types import Stage


def answer_queued(
    now: float,
    bookings_by_key: abc.Mapping[tuple[str, str], Booking],
    queued: abc.Iterable[cell_messages.Holding],
    *,
    answer: abc.Callable[[float, Booking], parts.Send],
    cancel: abc.Callable[[tuple[str, str]], parts.Send],
) -> list[typing.Any]:
    """Renew queued bookings, and return what their entry has to know.

    It gets a ``Booked`` again if that was lost, and a ``Cancelled`` for each
    that is not known. One ``Queued`` stands for all that still wait: the
    entry learns that the owner is alive.

    :param answer: makes the answer that a booking has got.
    :param cancel: makes the message that ends an unknown one.
    """
    out: list[typing.Any] = []
    waiting = []
    for holding in queued:
        key = (holding.request_id, holding.attempt_id)
        booking = bookings_by_key.get(key)
        if booking is None or _is_declined_move(booking):
            out.append(cancel(key))
            continue
        booking.renewed_at = now
        if booking.start_at is None:
            waiting.append(booking)
        else:
            out.append(answer(now, booking))
    if waiting:
        first = answer(now, waiting[0])
        message = msgspec.structs.replace(
            first.message, others=len(waiting) - 1
        )
        out.append(msgspec.structs.replace(first, message=message))
    return out


def _is_declined_move(booking: Booking) -> bool:
    """Return whether it only stands for a KV cache that is still held."""
    return (
        booking.stage is Stage.DECODE
        and not booking.decode_id
        and booking.start_at is not None
    )
