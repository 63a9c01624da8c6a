"""Selects the backend servers that may get new work, and their free slots."""

import math

import msgspec

from .backend_state import BackendState
from .cell_types import Booking
from .cell_types import Role
from .cell_types import Stage
from .cell_view import CellView

#: If the mean open fraction of a role's backend servers is below this, ejected
#: ones are used, too; above it, the others can carry their work.
MIN_OPEN_FRACTION = 0.5


class BackendCandidate(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server that may be booked now, with its free slots."""

    state: BackendState
    free: int


class CandidateFinder:
    """Finds the backend servers of a role that have room for a booking.

    :param uses_health: leave out ejected backend servers.
    :param uses_cap: use no more slots than meet the token gap's target.
    """

    def __init__(self, *, uses_health: bool, uses_cap: bool) -> None:
        self._uses_health = uses_health
        self._uses_cap = uses_cap

    def usable(
        self, now: float, view: CellView, role: Role, booking: Booking
    ) -> list[BackendState]:
        """Return the backend servers of a role that may get work.

        If all are ejected, these are the ones that accept connections; if
        none does, all.
        """
        candidates = candidates_for(view, role, booking)
        if not self._uses_health:
            return candidates
        if all(now < state.health.ejected_until for state in candidates):
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
    ) -> list[BackendCandidate]:
        """Return the backend servers with free slots.

        If no healthy one has a free slot, ejected ones are used if most of
        the role is closed to new work, since the rest can't carry all of it.
        Without this, two servers that both lose some answers would take one
        call each instead of one for each slot, and calls would be refused
        while slots are free. Servers that refuse connections stay left out.

        An ejected decode engine on which some work succeeds is used even if
        most of its role is healthy: serving six in ten of its streams is
        better than serving none.
        """
        found = self._with_slots(
            now,
            _with_room(
                now, view, self.usable(now, view, role, booking), booking
            ),
        )
        if found:
            return _spare_awaited(view, role, booking, found)
        if not self._uses_health:
            return found
        is_usable = _is_last_resort
        if not is_mostly_closed(now, view, role):
            if role is not Role.DECODE:
                return found
            is_usable = _is_partly_working
        usable = [
            state
            for state in candidates_for(view, role, booking)
            if is_usable(state)
        ]
        found = [
            BackendCandidate(
                state=state, free=self._slots(state) - state.slots_used
            )
            for state in _with_room(now, view, usable, booking)
        ]
        return [each for each in found if each.free > 0]

    def prefill_engines(
        self, now: float, view: CellView, booking: Booking
    ) -> list[BackendState]:
        """Return the prefill engines that may get a prompt.

        If decode engines can do prefills, ejected prefill engines are left
        out, unless most of the role is closed to new work: then those on
        which some work succeeds are included. Otherwise decode engines would
        do their prefills, which is slow and delays their streams, while
        prefill engines are idle. Where all prefill engines failed some of
        their calls, 0.96 of the calls of a day were served instead of 0.81,
        one run each.
        """
        if booking.may_read_there and (
            view.can_hold(Role.DECODE, booking)
            and not view.can_hold(Role.PREFILL, booking)
        ):
            return []
        usable = self.usable(now, view, Role.PREFILL, booking)
        if not booking.may_read_there or not self._uses_health:
            return usable
        usable = [
            state for state in usable if not state.health.is_ejected(now)
        ]
        if not is_mostly_closed(now, view, Role.PREFILL):
            return usable
        return usable + [
            state
            for state in candidates_for(view, Role.PREFILL, booking)
            if state not in usable and _is_last_resort(state)
        ]

    def _slots(self, state: BackendState) -> int:
        return state.slots_open if self._uses_cap else state.backend.slots

    def _with_slots(
        self, now: float, states: list[BackendState]
    ) -> list[BackendCandidate]:
        found = []
        for state in states:
            free = self._open_slots(now, state)
            if free > 0:
                found.append(BackendCandidate(state=state, free=free))
        return found

    def _open_slots(self, now: float, state: BackendState) -> int:
        """Return the free slots, counting only those open to new work now.

        During slow start only a part of the slots is open.
        """
        slots = self._slots(state)
        if self._uses_health:
            if state.health.slow_start_at is not None:
                open_part = state.health.open_fraction(now)
                slots = math.floor(slots * open_part)
            slots = max(1, slots)
        return slots - state.slots_used


def _spare_awaited(
    view: CellView,
    role: Role,
    booking: Booking,
    found: list[BackendCandidate],
) -> list[BackendCandidate]:
    """Leave engines to streams that wait for their version, if possible.

    While a version goes away, its last engines are all that its streams have,
    and new ones can go elsewhere.
    """
    if role is not Role.DECODE or booking.software_version is not None:
        return found
    awaited = view.queue.versions
    if not awaited:
        return found
    others = [
        each
        for each in found
        if each.state.backend.software_version not in awaited
    ]
    return others or found


def most_free(candidates: list[BackendCandidate]) -> BackendState:
    """Return the backend server with the most free slots.

    :param candidates: must not be empty.
    """
    return max(candidates, key=lambda each: each.free).state


def _with_room(
    now: float, view: CellView, states: list[BackendState], booking: Booking
) -> list[BackendState]:
    limits = view.rate_limits
    if not limits.allows_all:
        states = [
            state for state in states if limits.allows(now, state.backend)
        ]
    return view.with_kv_room(now, states, booking)


def is_mostly_closed(now: float, view: CellView, role: Role) -> bool:
    """Return whether most of a role is closed to new work.

    The slots of a backend server are closed while it is ejected, and a part
    of them during slow start, see :data:`MIN_OPEN_FRACTION`. One whose rate
    limit allows no request now doesn't count.
    """
    limits = view.rate_limits
    allows_all = limits.allows_all
    parts = [
        state.health.open_fraction(now)
        for state in view.candidates(role, ())
        if allows_all or limits.allows(now, state.backend)
    ]
    return sum(parts) < MIN_OPEN_FRACTION * len(parts)


def _is_last_resort(state: BackendState) -> bool:
    """Return whether an ejected server is better than none.

    A prefill engine must have done some work well, as decode engines can do
    prefills in its place. For other roles it is enough that connections to
    the server aren't refused.
    """
    if state.backend.role is Role.PREFILL:
        return state.health.is_partly_working
    return not state.health.refuses_connections


def _is_partly_working(state: BackendState) -> bool:
    health = state.health
    return health.is_partly_working and not health.refuses_connections


def serving(now: float, view: CellView, role: Role) -> list[BackendState]:
    """Return the backend servers that get work now, even if they are full."""
    candidates = view.candidates(role, ())
    if is_mostly_closed(now, view, role):
        return [state for state in candidates if _is_last_resort(state)]
    return [
        state
        for state in candidates
        if not state.health.is_ejected(now)
        or (role is Role.DECODE and _is_partly_working(state))
    ]


def candidates_for(
    view: CellView, role: Role, booking: Booking
) -> list[BackendState]:
    """Return the backend servers that a booking may be placed on.

    A new attempt that needs a prefill may go to excluded backend servers if
    there are no others. A KV cache that all decode engines refused may not:
    they would refuse it again.
    """
    candidates = _of_version(view.candidates(role, booking.exclude), booking)
    if not candidates and booking.stage is Stage.PAIR:
        return _of_version(view.candidates(role, ()), booking)
    return candidates


def lacks_version(view: CellView, role: Role, booking: Booking) -> bool:
    """Return whether all of a role are of other software versions."""
    others = view.candidates(role, ())
    return bool(others) and not _of_version(others, booking)


def _of_version(
    candidates: list[BackendState], booking: Booking
) -> list[BackendState]:
    """Return those that may run a booking by their software version.

    Only decode engines write what a stream is made of.
    """
    version = booking.software_version
    if version is None:
        return candidates
    return [
        state
        for state in candidates
        if state.backend.role is not Role.DECODE
        or state.backend.software_version == version
    ]
