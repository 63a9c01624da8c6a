"""What the current policy is measured against, behind the same Protocol.

The plain routers get what any router has: the list of backend servers,
their load reports, and what they themselves have sent. They pass
priorities and deadlines on, move a KV cache when an import is refused and
try again like every policy here. They don't predict, queue or book: a
request is refused only when every engine of a role is full, by report or by
the router's own count. No single limit of waiting prompts is best at every
load, so each router is measured with several and the best one counts.
"""

import math

import msgspec

from dandeliongw.cell import policy
from dandeliongw.verdict import RefusalReason

#: Prompts waiting at an engine from which a plain router calls it full.
#: Eight prompts are about the patience of an urgent request.
WAITING_LIMIT = 16


class RoundRobin(policy.RoundRobin):
    """Takes engines in turn, passing over those that report being full.

    :param waiting_limit: prompts at an engine from which it is full.
    """

    def __init__(self, *, waiting_limit: int) -> None:
        super().__init__()
        self._waiting_limit = waiting_limit

    def decide(
        self,
        *,
        now: float,
        view: policy.CellView,
        booking: policy.Booking,
    ) -> policy.Decision:
        full = frozenset(
            state.backend.backend_id
            for state in view.backends_by_id.values()
            if reports_full(state, self._waiting_limit)
        )
        for role in policy.ROLES_BY_STAGE[booking.stage]:
            open_ids = view.candidates(role, (*booking.exclude, *full))
            if not open_ids:
                return refuse_full(role)
        open_to = msgspec.structs.replace(
            booking, exclude=(*booking.exclude, *full)
        )
        return super().decide(now=now, view=view, booking=open_to)


class LeastReported:
    """Takes the engine with the least reported load that isn't full."""

    def __init__(self, *, waiting_limit: int) -> None:
        self._waiting_limit = waiting_limit

    def decide(
        self,
        *,
        now: float,
        view: policy.CellView,
        booking: policy.Booking,
    ) -> policy.Decision:
        ids_by_role = {}
        for role in policy.ROLES_BY_STAGE[booking.stage]:
            candidates = [
                state
                for state in view.candidates(role, booking.exclude)
                if not reports_full(state, self._waiting_limit)
            ]
            if not candidates:
                return refuse_full(role)
            least = min(candidates, key=reported_load)
            ids_by_role[role] = least.backend.backend_id
        return policy.place(ids_by_role, start_in_s=0.0)

    def dispatch(
        self, *, now: float, view: policy.CellView
    ) -> list[tuple[policy.Booking, policy.Decision]]:
        """Return nothing: no work is ever queued."""
        return []


class LeastConnections:
    """Takes the engine with the fewest open calls, up to a limit.

    As a router on each entry would that knows only its own calls: the
    limits are divided between the entries, and a call to a decode engine
    is open only once its prefill is done.

    :param entries: how many share each engine's limit.
    """

    def __init__(self, *, waiting_limit: int, entries: int) -> None:
        self._waiting_limit = waiting_limit
        self._entries = entries

    def decide(
        self,
        *,
        now: float,
        view: policy.CellView,
        booking: policy.Booking,
    ) -> policy.Decision:
        ids_by_role = {}
        for role in policy.ROLES_BY_STAGE[booking.stage]:
            counts_by_id = {
                state.backend.backend_id: self._count(state, booking.entry)
                for state in view.candidates(role, booking.exclude)
            }
            if not counts_by_id:
                return policy.no_backend(role)
            least = min(counts_by_id, key=counts_by_id.get)
            limit = view.backends_by_id[least].backend.slots
            if role is policy.Role.PREFILL:
                limit = self._waiting_limit
            if counts_by_id[least] >= math.ceil(limit / self._entries):
                return refuse_full(role)
            ids_by_role[role] = least
        return policy.place(ids_by_role, start_in_s=0.0)

    def _count(self, state: policy.BackendState, entry: str) -> int:
        is_decode = state.backend.role is policy.Role.DECODE
        return sum(
            booking.entry == entry and (booking.prefill_done or not is_decode)
            for booking in state.bookings_by_key.values()
        )

    def dispatch(
        self, *, now: float, view: policy.CellView
    ) -> list[tuple[policy.Booking, policy.Decision]]:
        """Return nothing: no work is ever queued."""
        return []


def reports_full(state: policy.BackendState, waiting_limit: int) -> bool:
    """Return whether the last report says that no work fits."""
    if state.backend.role is policy.Role.PREFILL:
        return state.reported_waiting >= waiting_limit
    return state.reported_running >= state.backend.slots


def reported_load(state: policy.BackendState) -> int:
    """Return the reported load, in tokens of prompt or streams."""
    if state.backend.role is policy.Role.PREFILL:
        return state.reported_queued_tokens
    return state.reported_running


def refuse_full(role: policy.Role) -> policy.Decline:
    """Return a plain router's refusal."""
    return policy.Decline(
        reason=RefusalReason.NO_CAPACITY,
        message=f'every {role.value} backend server reports being full',
        retry_after_s=policy.DEFAULT_RETRY_AFTER_S,
    )
