"""Plain routers, the baselines of the measurements, as policies.

The plain routers use what any router has: the list of backend servers,
their load reports, and the calls that they sent themselves. They pass on
priorities and deadlines, move a KV cache when an import is refused, and
retry like every policy here. They don't predict, queue or book: a request is
refused only when every engine of a role is full, by its report or by the
router's own count. No single limit of waiting prompts is best at every load,
so each router is measured with several and the best result counts.
"""

import math

import msgspec

from dandeliongw.cell import backend_state
from dandeliongw.cell import cell_types
from dandeliongw.cell import cell_view
from dandeliongw.cell import policy
from dandeliongw.verdict import RefusalReason

#: Waiting prompts from which a plain router considers an engine full. The
#: prefill of eight prompts takes about as long as an urgent request may wait.
WAITING_LIMIT = 16


class UnconditionalRoundRobin:
    """Selects the backend servers of a role in turn; never queues."""

    def __init__(self) -> None:
        self._turn_by_role: dict[cell_types.Role, int] = {}

    def decide(
        self,
        *,
        now: float,
        view: cell_view.CellView,
        booking: cell_types.Booking,
    ) -> policy.Decision:
        roles = cell_types.ROLES_BY_STAGE[booking.stage]
        ids_by_role = {}
        for role in roles:
            candidates = view.candidates(role, booking.exclude)
            if not candidates:
                return policy.no_backend(role)
            turn = self._turn_by_role.get(role, 0)
            self._turn_by_role[role] = turn + 1
            chosen = candidates[turn % len(candidates)]
            ids_by_role[role] = chosen.backend.backend_id
        return _place(ids_by_role)

    def dispatch(
        self, *, now: float, view: cell_view.CellView
    ) -> list[tuple[cell_types.Booking, policy.Decision]]:
        """Return no decisions, because nothing is queued."""
        return []


class RoundRobin(UnconditionalRoundRobin):
    """Selects engines in turn, except those that report being full.

    :param waiting_limit: waiting prompts from which an engine is full.
    """

    def __init__(self, *, waiting_limit: int) -> None:
        super().__init__()
        self._waiting_limit = waiting_limit

    def decide(
        self,
        *,
        now: float,
        view: cell_view.CellView,
        booking: cell_types.Booking,
    ) -> policy.Decision:
        full = frozenset(
            state.backend.backend_id
            for state in view.backends_by_id.values()
            if reports_full(state, self._waiting_limit)
        )
        for role in cell_types.ROLES_BY_STAGE[booking.stage]:
            open_ids = view.candidates(role, (*booking.exclude, *full))
            if not open_ids:
                return refuse_full(role)
        open_to = msgspec.structs.replace(
            booking, exclude=(*booking.exclude, *full)
        )
        return super().decide(now=now, view=view, booking=open_to)


class LeastReported:
    """Selects the engine with the least reported load that isn't full."""

    def __init__(self, *, waiting_limit: int) -> None:
        self._waiting_limit = waiting_limit

    def decide(
        self,
        *,
        now: float,
        view: cell_view.CellView,
        booking: cell_types.Booking,
    ) -> policy.Decision:
        ids_by_role = {}
        for role in cell_types.ROLES_BY_STAGE[booking.stage]:
            candidates = [
                state
                for state in view.candidates(role, booking.exclude)
                if not reports_full(state, self._waiting_limit)
            ]
            if not candidates:
                return refuse_full(role)
            least = min(candidates, key=reported_load)
            ids_by_role[role] = least.backend.backend_id
        return _place(ids_by_role)

    def dispatch(
        self, *, now: float, view: cell_view.CellView
    ) -> list[tuple[cell_types.Booking, policy.Decision]]:
        """Return no decisions, because nothing is queued."""
        return []


class LeastConnections:
    """Selects the engine with the fewest open calls, up to a limit.

    Models a router on each entry that counts only its own calls. The limits
    are divided between the entries. A call to a decode engine is open only
    once its prefill is done.

    :param entries: number of entries that share each engine's limit.
    """

    def __init__(self, *, waiting_limit: int, entries: int) -> None:
        self._waiting_limit = waiting_limit
        self._entries = entries

    def decide(
        self,
        *,
        now: float,
        view: cell_view.CellView,
        booking: cell_types.Booking,
    ) -> policy.Decision:
        ids_by_role = {}
        for role in cell_types.ROLES_BY_STAGE[booking.stage]:
            counts_by_id = {
                state.backend.backend_id: self._count(state, booking.entry)
                for state in view.candidates(role, booking.exclude)
            }
            if not counts_by_id:
                return policy.no_backend(role)
            least = min(counts_by_id, key=counts_by_id.get)
            limit = view.backends_by_id[least].backend.slots
            if role is cell_types.Role.PREFILL:
                limit = self._waiting_limit
            if counts_by_id[least] >= math.ceil(limit / self._entries):
                return refuse_full(role)
            ids_by_role[role] = least
        return _place(ids_by_role)

    def _count(self, state: backend_state.BackendState, entry: str) -> int:
        is_decode = state.backend.role is cell_types.Role.DECODE
        return sum(
            booking.entry == entry and (booking.prefill_done or not is_decode)
            for booking in state.bookings_by_key.values()
        )

    def dispatch(
        self, *, now: float, view: cell_view.CellView
    ) -> list[tuple[cell_types.Booking, policy.Decision]]:
        """Return no decisions, because nothing is queued."""
        return []


def reports_full(
    state: backend_state.BackendState, waiting_limit: int
) -> bool:
    """Return whether the engine was full by its last report."""
    if state.backend.role is cell_types.Role.PREFILL:
        return state.reported_waiting >= waiting_limit
    return state.reported_running >= state.backend.slots


def reported_load(state: backend_state.BackendState) -> int:
    """Return the reported load: queued prompt tokens or streams."""
    if state.backend.role is cell_types.Role.PREFILL:
        return state.reported_queued_tokens
    return state.reported_running


def refuse_full(role: cell_types.Role) -> policy.Decline:
    """Return a plain router's refusal when a role has no capacity."""
    return policy.Decline(
        reason=RefusalReason.NO_CAPACITY,
        message=f'every {role.value} backend server reports being full',
        retry_after_s=policy.DEFAULT_RETRY_AFTER_S,
    )


def _place(ids_by_role: dict[cell_types.Role, str]) -> policy.Place:
    """Return the decision for the selected ids."""
    return policy.Place(
        prefill_id=ids_by_role.get(cell_types.Role.PREFILL, ''),
        decode_id=ids_by_role.get(cell_types.Role.DECODE, ''),
        plain_id=ids_by_role.get(cell_types.Role.PLAIN, ''),
    )
