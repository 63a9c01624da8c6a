"""What a new owner of a cell does before it gives anything away.

The owner before it may have died with its bookings. Whoever starts with an
empty table would book slots that are full: one would see streams of twenty
become batches of forty for a second, and token gaps to match. So the new
owner tells every instance, and holds new work back until each has said what
it holds, or a short time is over.
"""

import typing

import msgspec

from . import cells
from ..coordination import parts

#: Seconds after which instances that haven't answered are given up on.
LONGEST_S = 0.5
#: Seconds after which they are asked again, over a stream: a datagram may be
#: lost, and there is time for one more answer.
REMIND_S = 0.2


class Takeover:
    """The first moments of a cell at a new owner.

    :param awaited: instances that are asked what they hold.
    """

    def __init__(
        self, *, now: float, cell: str, epoch: int, awaited: frozenset[str]
    ) -> None:
        self._cell = cell
        self._epoch = epoch
        self._ends_at = now + LONGEST_S
        self._remind_at = now + REMIND_S
        self._awaited = set(awaited)
        self._held_back: list[parts.Received] = []

    def announce(self) -> list[typing.Any]:
        """Return the question to all.

        As datagrams: connections to 200 instances would take longer to open
        than the answers are waited for (estimate).
        """
        return self._ask(by_datagram=True)

    def remind(self, now: float) -> list[typing.Any]:
        """Return the question to those that haven't answered, once."""
        if now < self._remind_at:
            return []
        self._remind_at = self._ends_at
        return self._ask(by_datagram=False)

    def _ask(self, *, by_datagram: bool) -> list[typing.Any]:
        message = cells.ReclaimWanted(cell=self._cell, epoch=self._epoch)
        return [
            parts.Send(
                to=instance_id, message=message, by_datagram=by_datagram
            )
            for instance_id in sorted(self._awaited)
        ]

    def note_reclaim(self, sender: str) -> None:
        """Note that an instance has said what it holds."""
        self._awaited.discard(sender)

    def is_over(self, now: float) -> bool:
        return not self._awaited or now >= self._ends_at

    def hold_back(self, event: parts.Received) -> list[typing.Any]:
        """Keep a ``Book`` for later and tell its entry to wait."""
        self._held_back.append(event)
        queued = cells.Queued(
            cell=self._cell,
            epoch=self._epoch,
            request_id=event.message.request_id,
            attempt_id=event.message.attempt_id,
            expected_in_s=max(0.0, self._ends_at - event.now),
        )
        return [parts.Send(to=event.sender, message=queued)]

    def release(self, now: float) -> list[parts.Received]:
        """Return the kept bookings, to be decided now."""
        return [
            msgspec.structs.replace(event, now=now)
            for event in self._held_back
        ]
