"""The policy in force: exact slots, booked before a prefill starts."""

import dataclasses

from .policy import BackendState
from .policy import Booking
from .policy import CellView
from .policy import Decision
from .policy import Decline
from .policy import DEFAULT_RETRY_AFTER_S
from .policy import no_backend
from .policy import place
from .policy import Place
from .policy import Role
from .policy import ROLES_BY_STAGE
from .policy import Stage
from .verdict import RefusalReason


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Options:
    """Which decisions are made; earlier versions lack the later ones."""


class Scheduler:
    """Books a prefill engine and a decode slot together, or refuses.

    A decode slot is taken before the prefill starts, so that its result
    never waits for one until it is evicted.
    """

    def __init__(self, *, options: Options = Options()) -> None:
        self._options = options

    def decide(
        self, *, now: float, view: CellView, booking: Booking
    ) -> Decision:
        for role in ROLES_BY_STAGE[booking.stage]:
            if not view.candidates(role, booking.exclude):
                return no_backend(role)
        return self._place(now, view, booking) or _refuse_full(booking)

    def dispatch(
        self, *, now: float, view: CellView
    ) -> list[tuple[Booking, Decision]]:
        """Return nothing: no work is queued."""
        return []

    def _place(
        self, now: float, view: CellView, booking: Booking
    ) -> Place | None:
        ids_by_role = {}
        for role in ROLES_BY_STAGE[booking.stage]:
            candidates = view.candidates(role, booking.exclude)
            if role is Role.PREFILL:
                chosen = _earliest_free(now, candidates)
            else:
                chosen = _most_free_slots(candidates)
            if chosen is None:
                return None
            ids_by_role[role] = chosen.backend.backend_id
        return place(ids_by_role, start_in_s=0.0)


def _earliest_free(
    now: float, candidates: list[BackendState]
) -> BackendState | None:
    return min(
        candidates, key=lambda state: state.prefill_free_at(now), default=None
    )


def _free_slots(state: BackendState) -> int:
    return state.backend.slots - state.slots_used


def _most_free_slots(candidates: list[BackendState]) -> BackendState | None:
    free = [state for state in candidates if _free_slots(state) > 0]
    return max(free, key=_free_slots, default=None)


def _refuse_full(booking: Booking) -> Decline:
    role = 'plain' if booking.stage is Stage.PLAIN else 'decode'
    return Decline(
        reason=RefusalReason.NO_CAPACITY,
        message=f'every slot of the {role} backend servers is taken',
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )
