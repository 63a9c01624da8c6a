"""What the owner of a cell hears of rate limits, and tells entries of them."""

from collections import abc

from .cell_messages import RateLimitReported
from .cell_types import CellBackend
from .cell_view import CellView
from .rate_limits import RateLimit

#: Seconds between two times that an entry is told all rate limits of the
#: cell. It needs them if it has to place work without the owner.
TELL_INTERVAL_S = 1.0
#: Limits that are told at a time, for a bound on the size of the message.
MAX_TOLD = 64


class RateLimitNews:
    """Keeps the rate limits of a cell and its entries up to date.

    :param view: its ``rate_limits`` are updated here.
    """

    def __init__(self, *, view: CellView) -> None:
        self._view = view
        self._told_at_by_entry: dict[str, float] = {}

    def reclaim(self, now: float, known: abc.Iterable[RateLimit]) -> None:
        """Record what an entry knows of the time before this owner."""
        limits = self._view.rate_limits
        for limit in known:
            if not limits.is_limited(limit.backend_id, limit.incarnation):
                limits.record(now, limit)

    def record(self, now: float, reported: RateLimitReported) -> None:
        """Record what an answer to an entry states."""
        limits = self._view.rate_limits
        if reported.per_s is None:
            limits.lift(
                reported.backend_id,
                reported.incarnation,
                asked_at=now - reported.age_s,
            )
            return
        limit = RateLimit(
            backend_id=reported.backend_id,
            incarnation=reported.incarnation,
            per_s=reported.per_s,
        )
        limits.record(now, limit)

    def to_tell(
        self, now: float, entry: str, booked: abc.Iterable[CellBackend]
    ) -> tuple[RateLimit, ...]:
        """Return the rate limits that an entry is told with a booking.

        :param booked: the backend servers of the booking.
        """
        limits = self._view.rate_limits
        if limits.is_empty:
            return ()
        of_booked = limits.of(booked)
        told_at = self._told_at_by_entry.get(entry)
        if told_at is not None and now < told_at + TELL_INTERVAL_S:
            return of_booked
        self._told_at_by_entry[entry] = now
        states = self._view.backends_by_id.values()
        of_all = limits.of(state.backend for state in states)
        return tuple(dict.fromkeys(of_booked + of_all))[:MAX_TOLD]
