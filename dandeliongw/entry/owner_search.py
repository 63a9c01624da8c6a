"""Requests that no owner has placed yet: when to ask again, and to give up."""

import typing

from . import attempts
from . import endings
from . import paced_reservations
from . import refusals
from . import reservations
from .request import Phase
from .request import Request

#: Seconds by which a search is shortened at most, if the silence of the last
#: owner was waited for.
MAX_SPENT_S = 1.0

Effects = list[typing.Any]


class OwnerSearch:
    """Repeats the bookings of each request, until one is answered."""

    def __init__(
        self,
        *,
        reservations: reservations.Reservations,
        attempts: attempts.Attempts,
        endings: endings.Endings,
    ) -> None:
        self._reservations = reservations
        self._attempts = attempts
        self._endings = endings

    def note_tick(self, now: float) -> None:
        """Process that time has passed, before the requests do."""

    def tick(self, now: float) -> Effects:
        """Process that time has passed, after the requests did."""
        return []

    def tick_booking(self, now: float, request: Request) -> Effects:
        """Process that time has passed for a request without an answer."""
        if now - request.phase_at >= request.search_timeout_s:
            return self._endings.give_up(
                now, request, refusals.no_owner(request)
            )
        waited_s = now - request.asked_at
        is_silent = waited_s >= reservations.OWNER_TIMEOUT_S
        if is_silent and self._reservations.may_place_without_owner(request):
            return self._reservations.place_without_owner(now, request)
        return self._ask_again(now, request)

    def _ask_again(self, now: float, request: Request) -> Effects:
        if now - request.asked_at < reservations.OWNER_RETRY_S:
            return []
        asked = self._reservations.book(now, request)
        return self._attempts.handle_no_owner(now, request, asked)

    def tick_queued(self, now: float, request: Request) -> Effects:
        """Repeat the booking periodically, which also renews its queue entry.

        The owner sends ``Booked`` only once. Without the repetition, a lost
        message would keep the slot reserved and the request waiting until
        its deadline.
        """
        if self._has_lost_owner(now, request):
            if self._reservations.may_place_without_owner(request):
                return self._reservations.place_without_owner(now, request)
            return self._search(now, request)
        if not self._must_repeat(now, request):
            return []
        return self._reservations.repeat_booking(now, request)

    def _search(self, now: float, request: Request) -> Effects:
        return self._attempts.search(now, request)

    def _has_lost_owner(self, now: float, request: Request) -> bool:
        waited_s = now - request.owner_replied_at
        return waited_s >= reservations.QUEUE_TIMEOUT_S

    def _must_repeat(self, now: float, request: Request) -> bool:
        return now - request.asked_at >= reservations.QUEUE_RENEW_S


class PacedOwnerSearch(OwnerSearch):
    """Leaves repeats to the paced reservations, for each cell as a whole.

    A request keeps its place in the queue of an owner that is slow, as long
    as any message about the cell comes from that owner.
    """

    _reservations: paced_reservations.PacedReservations

    def note_tick(self, now: float) -> None:
        self._reservations.note_tick(now)

    def tick(self, now: float) -> Effects:
        out = self._reservations.tick(now)
        for request in self._reservations.hopeless(now):
            refusal = refusals.owner_too_slow(request)
            out += self._endings.give_up(now, request, refusal)
        return out

    def _ask_again(self, now: float, request: Request) -> Effects:
        if self._reservations.is_booking(request):
            return []
        return super()._ask_again(now, request)

    def _has_lost_owner(self, now: float, request: Request) -> bool:
        if self._reservations.has_left_queue(request):
            return True
        if not self._reservations.is_silent(now, request):
            return False
        self._reservations.leave_owner(now, request.cell, request.owner)
        return True

    def _search(self, now: float, request: Request) -> Effects:
        """Search for as long as if the owner had been left early.

        Otherwise its client would disconnect before it is refused.
        """
        silent_s = now - request.owner_replied_at
        out = super()._search(now, request)
        if request.phase is Phase.BOOKING and silent_s > (
            reservations.QUEUE_TIMEOUT_S
        ):
            spent_s = silent_s - reservations.QUEUE_TIMEOUT_S
            request.phase_at -= min(spent_s, MAX_SPENT_S)
        return out

    def _must_repeat(self, now: float, request: Request) -> bool:
        if request.is_renewed_together:
            return False
        return super()._must_repeat(now, request)


def make_search(
    *, reservations: reservations.Reservations, **options: typing.Any
) -> OwnerSearch:
    """Return the search that fits the reservations."""
    is_paced = isinstance(reservations, paced_reservations.PacedReservations)
    made = PacedOwnerSearch if is_paced else OwnerSearch
    return made(reservations=reservations, **options)
