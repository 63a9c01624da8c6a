"""The policy in force: exact slots, booked before a prefill starts."""

import dataclasses

from .policy import BackendState
from .policy import Booking
from .policy import CellView
from .policy import Decision
from .policy import Decline
from .policy import DEFAULT_RETRY_AFTER_S
from .policy import no_backend
from .policy import Place
from .policy import Role
from .policy import ROLES_BY_STAGE
from .policy import Stage
from .verdict import RefusalReason


#: Waits for a link that differ by less than 10 ms count as equal.
LINK_DIGITS = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Options:
    """Which decisions are made; earlier versions lack the later ones.

    :param links: choose the decode engine whose link is free first.
    """

    links: bool = True


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
        if booking.stage is Stage.PLAIN:
            return self._place_plain(view, booking)
        prefill_id = booking.prefill_id
        ready_at = now
        if booking.stage is Stage.PAIR:
            candidates = view.candidates(Role.PREFILL, booking.exclude)
            prefill = _earliest_free(now, candidates)
            prefill_id = prefill.backend.backend_id
            ready_at = prefill.prefill_free_at(now) + view.prefill_work_s(
                prefill, booking.prompt_tokens
            )
        decode = self._choose_decode(view, booking, prefill_id, ready_at)
        if decode is None:
            return None
        return Place(
            prefill_id=prefill_id, decode_id=decode.backend.backend_id
        )

    def _place_plain(self, view: CellView, booking: Booking) -> Place | None:
        candidates = view.candidates(Role.PLAIN, booking.exclude)
        chosen = _most_free_slots(candidates)
        if chosen is None:
            return None
        return Place(plain_id=chosen.backend.backend_id)

    def _choose_decode(
        self,
        view: CellView,
        booking: Booking,
        prefill_id: str,
        ready_at: float,
    ) -> BackendState | None:
        candidates = view.candidates(Role.DECODE, booking.exclude)
        if not self._options.links:
            return _most_free_slots(candidates)

        def cost(state: BackendState) -> tuple[float, int]:
            starts_at = view.transfer_starts_at(
                prefill_id, state.backend.backend_id, ready_at
            )
            wait_s = round(starts_at - ready_at, LINK_DIGITS)
            return wait_s, -_free_slots(state)

        free = [state for state in candidates if _free_slots(state) > 0]
        return min(free, key=cost, default=None)


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
