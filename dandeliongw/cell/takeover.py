"""Collects the existing bookings of a cell at its new owner.

The former owner may have died with its bookings. A new owner that started
with an empty table would book slots that are in use: for a second, batches of
twenty streams would become batches of forty, with longer token gaps. So the
new owner asks every instance for its bookings, and delays new work until all
have answered or a short timeout is over.
"""

import typing

import msgspec

from . import cells
from ..coordination import parts

#: Timeout for the answers, in seconds.
TIMEOUT_S = 0.5
#: Seconds after which the request is repeated over a connection: a datagram
#: may be lost, and there is time for one more answer.
REPEAT_AFTER_S = 0.2


class Takeover:
    """The takeover of one cell by this instance.

    :param awaited: instances that may hold bookings of the cell.
    """

    def __init__(
        self, *, now: float, cell: str, epoch: int, awaited: frozenset[str]
    ) -> None:
        self._cell = cell
        self._epoch = epoch
        self._ends_at = now + TIMEOUT_S
        self._repeat_at = now + REPEAT_AFTER_S
        self._awaited = set(awaited)
        self._delayed: list[parts.Received] = []

    def announce(self) -> list[typing.Any]:
        """Return the request to all instances.

        It is sent by datagram: opening connections to 200 instances would
        take longer than the timeout for the answers.
        """
        return self._request(by_datagram=True)

    def repeat_request(self, now: float) -> list[typing.Any]:
        """Return the repeated request to those without an answer, once."""
        if now < self._repeat_at:
            return []
        self._repeat_at = self._ends_at
        return self._request(by_datagram=False)

    def _request(self, *, by_datagram: bool) -> list[typing.Any]:
        message = cells.ReclaimWanted(cell=self._cell, epoch=self._epoch)
        return [
            parts.Send(
                to=instance_id, message=message, by_datagram=by_datagram
            )
            for instance_id in sorted(self._awaited)
        ]

    def record_reclaim(self, sender: str) -> None:
        """Record that an instance has sent its bookings."""
        self._awaited.discard(sender)

    def is_over(self, now: float) -> bool:
        return not self._awaited or now >= self._ends_at

    def delay_book(self, event: parts.Received) -> list[typing.Any]:
        """Delay a ``Book`` until the takeover is over; answer ``Queued``."""
        self._delayed.append(event)
        queued = cells.Queued(
            cell=self._cell,
            epoch=self._epoch,
            request_id=event.message.request_id,
            attempt_id=event.message.attempt_id,
            expected_in_s=max(0.0, self._ends_at - event.now),
            takes_renewals=True,
        )
        return [parts.Send(to=event.sender, message=queued)]

    def without_delayed(self, event: parts.Received) -> parts.Received:
        """Return a ``Progress`` without the bookings that are delayed here.

        The cell does not know them yet, and would cancel them.
        """
        delayed = {
            (each.message.request_id, each.message.attempt_id)
            for each in self._delayed
        }
        queued = tuple(
            each
            for each in event.message.queued
            if (each.request_id, each.attempt_id) not in delayed
        )
        progress = msgspec.structs.replace(event.message, queued=queued)
        return msgspec.structs.replace(event, message=progress)

    def release(self, now: float) -> list[parts.Received]:
        """Return the delayed ``Book`` messages, to be handled now."""
        return [
            msgspec.structs.replace(event, now=now) for event in self._delayed
        ]
