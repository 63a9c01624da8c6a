"""Selects the backend servers that may get new work, and their free slots."""

import math

import msgspec

from .backend_state import BackendState
from .cell_view import CellView
from .vocabulary import Booking
from .vocabulary import Role
from .vocabulary import Stage

#: If a smaller part of a role's slots than this is open to new work, ejected
#: backend servers are used, too: above it, the others can carry their work.
LEAST_TRUSTED_PART = 0.5


class Room(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server that may be booked now, with its free slots."""

    state: BackendState
    free: int


class Rooms:
    """Finds the backend servers of a role that have room for a booking.

    :param heeds_health: leave out ejected backend servers.
    :param heeds_cap: use no more slots than meet the token gap's target.
    """

    def __init__(self, *, heeds_health: bool, heeds_cap: bool) -> None:
        self._heeds_health = heeds_health
        self._heeds_cap = heeds_cap

    def usable(
        self, now: float, view: CellView, role: Role, booking: Booking
    ) -> list[BackendState]:
        """Return the backend servers of a role that may get work.

        If all are ejected, these are the ones that accept connections; if
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

        If no healthy one has a free slot, ejected ones are used where most of
        the role's slots are held back, since the rest can't carry all the
        work. Otherwise two servers that both lose some answers would take one
        call each instead of one for each slot, and calls would be refused
        while slots are free. Servers that refuse connections stay left out.

        An ejected decode engine on which some work succeeds is used even if
        most of its role is healthy: serving six in ten of its streams is
        better than serving none.
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

        Ejected ones on which some work succeeds are included where most of
        the role's slots are held back. Otherwise decode engines would do the
        prefills, which is slow and delays their streams, while prefill
        engines are idle. Where all prefill engines failed some of their
        calls, 0.96 of the calls of a day were served instead of 0.81, one run
        each.
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
        """Return the free slots, counting only those open to new work now.

        During slow start only a part of the slots is open.
        """
        slots = self._slots(state)
        if self._heeds_health:
            slots = max(1, math.floor(slots * state.health.open_part(now)))
        return slots - state.slots_used


def freest(rooms: list[Room]) -> BackendState:
    """Return the backend server with the most free slots.

    :param rooms: must not be empty.
    """
    return max(rooms, key=lambda room: room.free).state


def is_most_distrusted(now: float, view: CellView, role: Role) -> bool:
    """Return whether over half of a role's slots are closed to new work.

    Slots are closed while their backend server is ejected or in slow start.
    """
    parts = [
        state.health.open_part(now) for state in view.candidates(role, ())
    ]
    return sum(parts) < LEAST_TRUSTED_PART * len(parts)


def _is_of_use(state: BackendState) -> bool:
    """Return whether an ejected server is better than none.

    A prefill engine must have done some work well, as decode engines can do
    prefills in its place. For other roles it is enough that connections to
    the server aren't refused.
    """
    if state.backend.role is Role.PREFILL:
        return state.health.works_in_part
    return not state.health.refuses_connections


def _works_in_part(state: BackendState) -> bool:
    health = state.health
    return health.works_in_part and not health.refuses_connections


def serving(now: float, view: CellView, role: Role) -> list[BackendState]:
    """Return the backend servers that get work now, even if they are full."""
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
    """Return the backend servers that a booking may be placed on.

    A new attempt that needs a prefill may go to excluded backend servers if
    there are no others. A KV cache that all decode engines refused may not:
    they would refuse it again.
    """
    candidates = view.candidates(role, booking.exclude)
    if not candidates and booking.stage is Stage.PAIR:
        return view.candidates(role, ())
    return candidates
