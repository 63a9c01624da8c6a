"""Finds streams on engines that nobody answers for any more.

A booking's lease runs out when its entry dies, and the owner cancels. But
when owner and entry are lost together, nobody is left who knows of the
stream, and it would hold engine memory until its last token. One would see
engines report more running streams than their owner has booked. So every
owner asks its engines now and then what they hold.
"""

import dataclasses

from . import cells
from . import policy

#: Seconds between two questions to one engine.
EVERY_S = 5.0
#: Seconds after a takeover in which entries may still reclaim.
GRACE_S = cells.BOOKING_LEASE_S


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListStreams:
    """Effect: ask an engine what it holds; post :class:`StreamsListed`."""

    cell: str
    backend_id: str
    url: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StreamsListed:
    """An engine's answer.

    :param streams: pairs of stream id and attempt id.
    """

    now: float
    cell: str
    backend_id: str
    streams: tuple[tuple[str, str], ...]


class Sweep:
    """The sweep of one cell."""

    def __init__(self, *, now: float) -> None:
        self._next_at = now + GRACE_S
        self._unknown_by_backend: dict[str, set[tuple[str, str]]] = {}

    def tick(self, now: float, cell: cells.Cell) -> list[ListStreams]:
        """Return whom to ask, when it is time."""
        if now < self._next_at:
            return []
        self._next_at = now + EVERY_S
        return [
            ListStreams(
                cell=cell.cell_id, backend_id=backend_id, url=state.backend.url
            )
            for backend_id, state in sorted(cell.view.backends_by_id.items())
            if state.backend.role is not policy.Role.PLAIN
        ]

    def judge(
        self, listed: StreamsListed, cell: cells.Cell
    ) -> list[cells.CancelStream]:
        """Cancel what was unknown at this answer and at the one before.

        An answer can cross a booking or a release, so that one look proves
        nothing; two of them, seconds apart, do.
        """
        backend = cell.view.backends_by_id.get(listed.backend_id)
        if backend is None:
            return []
        unknown = {
            stream
            for stream in listed.streams
            if stream not in cell.bookings_by_key
        }
        before = self._unknown_by_backend.get(listed.backend_id, set())
        self._unknown_by_backend[listed.backend_id] = unknown
        return [
            cells.CancelStream(
                backend_id=listed.backend_id,
                url=backend.backend.url,
                stream_id=stream_id,
                attempt_id=attempt_id,
                epoch=cell.epoch,
            )
            for stream_id, attempt_id in sorted(unknown & before)
        ]
