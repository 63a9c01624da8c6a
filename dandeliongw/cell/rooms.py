"""Which backend servers may get new work, and how much."""

import math

import msgspec

from .backend_state import BackendState
from .cell_view import CellView
from .vocabulary import Booking
from .vocabulary import Role
from .vocabulary import Stage

#: With less than half of a role's places trusted, the rest is used, too.
#: Estimate: up to then others can carry what a distrusted one would.
LEAST_TRUSTED_PART = 0.5


class Room(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server with slots that may be booked now."""

    state: BackendState
    free: int


class Rooms:
    """Finds the backend servers of a role that have room for a booking.

    :param heeds_health: leave out what keeps failing.
    :param heeds_cap: use no more slots than the token gap's target bears.
    """

    def __init__(self, *, heeds_health: bool, heeds_cap: bool) -> None:
        self._heeds_health = heeds_health
        self._heeds_cap = heeds_cap

    def usable(
        self, now: float, view: CellView, role: Role, booking: Booking
    ) -> list[BackendState]:
        """Return those that may get work.

        If every one is left out, these are those that take connections; if
        none does, all.
        """
        candidates = candidates_for(view, role, booking)
        if not self._heeds_health:
            return candidates
        if all(state.health.is_ejected(now) for state in candidates):
            reachable = [
                state
                for state in candidates
                if not state.health.refuses_connections
            ]
            return reachable or candidates
        return [
            state for state in candidates if state.health.may_get_work(now)
        ]

    def find(
        self, now: float, view: CellView, role: Role, booking: Booking
    ) -> list[Room]:
        """Return the backend servers with free slots.

        Where faults take trust from most of a role at once, the rest can't
        do their work. Of two servers that lose some answers each would
        carry one call instead of all it has slots for; one would see calls
        refused while places are free. Their slots are used then, once those
        of trusted ones are full; but none of one that is dead.

        A decode engine some of whose work goes well is used even before
        that: six in ten of its streams served are more than none.
        """
        rooms = [
            Room(state=state, free=self._trusted_slots(now, state))
            for state in self.usable(now, view, role, booking)
            if view.has_kv_room(now, state, booking)
        ]
        rooms = [room for room in rooms if room.free > 0]
        if rooms or not self._heeds_health:
            return rooms
        is_of_use = _is_of_use
        if not is_most_distrusted(now, view, role):
            if role is not Role.DECODE:
                return rooms
            is_of_use = _works_in_part
        rooms = [
            Room(state=state, free=self._slots(state) - state.slots_used)
            for state in candidates_for(view, role, booking)
            if is_of_use(state) and view.has_kv_room(now, state, booking)
        ]
        return [room for room in rooms if room.free > 0]

    def readers(
        self, now: float, view: CellView, booking: Booking
    ) -> list[BackendState]:
        """Return the prefill engines that may get a prompt.

        A decode engine that reads in their place is slow at both, and all
        its streams with it. With readers left out for failing now and then,
        one would see streams late for seconds while readers are idle. Where
        all failed some of their calls, 0.96 of the calls of a day were
        served instead of 0.81, one run each.
        """
        usable = self.usable(now, view, Role.PREFILL, booking)
        if not booking.may_read_there or not self._heeds_health:
            return usable
        usable = [
            state for state in usable if not state.health.is_ejected(now)
        ]
        if not is_most_distrusted(now, view, Role.PREFILL):
            return usable
        return usable + [
            state
            for state in candidates_for(view, Role.PREFILL, booking)
            if state not in usable and _is_of_use(state)
        ]

    def _slots(self, state: BackendState) -> int:
        return state.slots_open if self._heeds_cap else state.backend.slots

    def _trusted_slots(self, now: float, state: BackendState) -> int:
        """Return how many slots are free of those open to new work now."""
        slots = self._slots(state)
        if self._heeds_health:
            slots = max(1, math.floor(slots * state.health.open_part(now)))
        return slots - state.slots_used


def freest(rooms: list[Room]) -> BackendState:
    """Return the one with the most free slots; ``rooms`` must not be empty."""
    return max(rooms, key=lambda room: room.free).state


def is_most_distrusted(now: float, view: CellView, role: Role) -> bool:
    """Return whether over half of a role's places are held back."""
    parts = [
        state.health.open_part(now) for state in view.candidates(role, ())
    ]
    return sum(parts) < LEAST_TRUSTED_PART * len(parts)


def _is_of_use(state: BackendState) -> bool:
    """Whether a distrusted server is better than none.

    Decode engines can read in the place of a prefill engine, so that one has
    to have done some work; of the others it is enough that they take any.
    """
    if state.backend.role is Role.PREFILL:
        return state.health.works_in_part
    return not state.health.refuses_connections


def _works_in_part(state: BackendState) -> bool:
    health = state.health
    return health.works_in_part and not health.refuses_connections


def serving(now: float, view: CellView, role: Role) -> list[BackendState]:
    """Return those that get work now, whether or not they have room."""
    candidates = view.candidates(role, ())
    if is_most_distrusted(now, view, role):
        return [state for state in candidates if _is_of_use(state)]
    return [
        state
        for state in candidates
        if not state.health.is_ejected(now)
        or (role is Role.DECODE and _works_in_part(state))
    ]


def candidates_for(
    view: CellView, role: Role, booking: Booking
) -> list[BackendState]:
    """Return the backend servers that this work may go to.

    A whole new attempt may go where one failed, if there is nowhere else;
    a KV cache that was refused everywhere may not, at once.
    """
    candidates = view.candidates(role, booking.exclude)
    if not candidates and booking.stage is Stage.PAIR:
        return view.candidates(role, ())
    return candidates
