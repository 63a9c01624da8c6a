"""Balances the engines of a cell between the prefill and the decode pool.

Both pools work on every request. If one has too many engines, the other one
is full first, and requests are refused while engines are idle. Decode engines
serve as a reserve for prefills, if that doesn't pause their other streams for
too long: they do what the prefill engines have no time for, more slowly. An
engine that changes its role gets no work for some seconds. So engines are
moved only if that can raise the cell's throughput by over a fifth, a few at a
time, and with a cooldown between moves.
"""

from collections import abc
import math

import msgspec

from . import backend_state
from . import cell_types
from . import cell_view
from . import prediction
from .forecast import MAX_FILL

#: Number of requests before their mean is used.
MIN_REQUESTS = 12
#: Least throughput of the best split, as a multiple of the present one, that
#: is worth a move. The gain of a single move is no measure: with 11 and 19
#: engines one more gains only 1 part in 20, and a large cell would never
#: change.
MIN_GAIN = 1.2
#: Most of a cell's engines that move at one time, as a part of them; at least
#: one engine.
MAX_MOVING_FRACTION = 0.1
#: Seconds after which a move is given up if the engine hasn't taken its role.
SWITCH_TIMEOUT_S = 15.0
#: Cooldown between two moves in one cell, in seconds. An order that got no
#: answer may take effect a dozen seconds later; it must not cross the next
#: one.
COOLDOWN_S = 20.0
#: Engines that a pool keeps when it gives some to a pool that isn't empty.
#: With a single prefill engine, decode engines do the prefills that it has no
#: time for, and all of them if it fails, which pauses their other streams. In
#: the same four seconds 27 of 139 requests were late with one, 2 with two.
MIN_LEFT = 2
#: Seconds for which a pool must have been empty before the cooldown is cut
#: short; longer than all engines take to reappear after a power loss.
EMPTY_POOL_S = 3.0
#: An engine that refuses connections counts as dead from this number of
#: successive ejections.
DEAD_AFTER_EJECTIONS = 2
#: Weight of a new request in the moving averages.
SMOOTHING = 0.05


class Switch(msgspec.Struct, frozen=True, kw_only=True):
    """A move of an engine to another role, not yet completed."""

    backend_id: str
    role: cell_types.Role
    since: float


class RoleBalancer:
    """Measures the load of one cell and moves engines between its pools."""

    def __init__(self) -> None:
        self.switches_by_id: dict[str, Switch] = {}
        self._request_count = 0
        self._cooldown_until = -math.inf
        self._empty_since: float | None = None
        self._decode_may_prefill = False
        #: Mean engine seconds that a request takes, by role.
        self._work_by_role = {
            cell_types.Role.PREFILL: 0.0,
            cell_types.Role.DECODE: 0.0,
        }

    def record(
        self, view: cell_view.CellView, booking: cell_types.Booking
    ) -> None:
        """Update the means with a new request."""
        self._request_count += 1
        pause_s = prediction.prefill_pause_s(view, math.inf)
        self._decode_may_prefill = (
            booking.may_read_there and pause_s <= view.terms.token_gap_s
        )
        part = max(SMOOTHING, 1.0 / self._request_count)
        work_by_role = {
            cell_types.Role.PREFILL: booking.prompt_tokens
            / view.terms.prefill_tokens_per_s,
            cell_types.Role.DECODE: _decode_work_s(view, booking),
        }
        for role, work_s in work_by_role.items():
            mean_s = self._work_by_role[role]
            self._work_by_role[role] = mean_s + part * (work_s - mean_s)

    def _counted_by_role(
        self, now: float, view: cell_view.CellView
    ) -> dict[cell_types.Role, list[backend_state.BackendState]]:
        return {
            role: [
                state
                for state in view.candidates(role, ())
                if _has_capacity(now, state)
            ]
            for role in self._work_by_role
        }

    def forget(self, backend_id: str) -> None:
        """End the move of an engine that has restarted meanwhile."""
        self.switches_by_id.pop(backend_id, None)

    def review(self, now: float, view: cell_view.CellView) -> bool:
        """Begin or end moves; return whether any were begun or ended."""
        if self.switches_by_id:
            return self._end_switches(now, view)
        is_cooling_down = (
            now < self._cooldown_until and not self._has_empty_pool(now, view)
        )
        if self._request_count < MIN_REQUESTS or is_cooling_down:
            return False
        self.switches_by_id = self._choose(now, view)
        if not self.switches_by_id:
            return False
        self._empty_since = None
        self._cooldown_until = now + COOLDOWN_S
        return True

    def _has_empty_pool(self, now: float, view: cell_view.CellView) -> bool:
        """Return whether a pool has been empty for :data:`EMPTY_POOL_S`."""
        if all(view.candidates(role, ()) for role in self._work_by_role):
            self._empty_since = None
            return False
        if self._empty_since is None:
            self._empty_since = now
        return now >= self._empty_since + EMPTY_POOL_S

    def _end_switches(self, now: float, view: cell_view.CellView) -> bool:
        ended = [
            backend_id
            for backend_id, switch in self.switches_by_id.items()
            if _has_ended(now, view, switch)
        ]
        for backend_id in ended:
            del self.switches_by_id[backend_id]
        return bool(ended)

    def _choose(
        self, now: float, view: cell_view.CellView
    ) -> dict[str, Switch]:
        """Return the moves to begin, by backend id; empty in most cases."""
        counted_by_role = self._counted_by_role(now, view)
        counts = {
            role: len(counted) for role, counted in counted_by_role.items()
        }
        splits = [
            split
            for to in counts
            for split in _splits(counts, giver=_other(to), to=to)
        ]
        best = max(splits, key=self._throughput, default=counts)
        if self._throughput(best) <= MIN_GAIN * self._throughput(counts):
            return {}
        to = max(best, key=lambda role: best[role] - counts[role])
        giver = _other(to)
        at_once = max(1, int(sum(counts.values()) * MAX_MOVING_FRACTION))
        idlest = sorted(
            counted_by_role[giver],
            key=lambda state: (
                len(state.bookings_by_key),
                state.backend.backend_id,
            ),
        )
        moved = min(at_once, best[to] - counts[to])
        return {
            state.backend.backend_id: Switch(
                backend_id=state.backend.backend_id, role=to, since=now
            )
            for state in idlest[:moved]
        }

    def _throughput(self, counts: abc.Mapping[cell_types.Role, int]) -> float:
        """Return the requests a second that a split of the engines serves."""
        prefill_engines, decode_engines = (
            counts[cell_types.Role.PREFILL],
            counts[cell_types.Role.DECODE],
        )
        prefill_s, decode_s = (
            self._work_by_role[cell_types.Role.PREFILL],
            self._work_by_role[cell_types.Role.DECODE],
        )
        prefilled = prefill_engines / prefill_s if prefill_s else math.inf
        decoded = decode_engines / decode_s if decode_s else math.inf
        if decoded <= prefilled or not self._decode_may_prefill:
            return min(prefilled, decoded)
        # Decode engines also do the prefills of the requests beyond the
        # capacity of the prefill engines.
        slower = prediction.DECODE_PREFILL_SLOWDOWN
        return (decode_engines + prefill_engines * slower) / (
            decode_s + slower * prefill_s
        )


def _has_capacity(now: float, state: backend_state.BackendState) -> bool:
    """Return whether an engine counts, even if it is ejected right now.

    A move costs ten seconds of an engine's work, an ejection for some failed
    work or one connection two. If ejected engines didn't count, a pool whose
    engines are all ejected at once would get one from the other pool. A dead
    engine is ejected again, or its announcement expires.
    """
    health = state.health
    if not health.is_ejected(now):
        return True
    if health.refuses_connections:
        return health.ejections < DEAD_AFTER_EJECTIONS
    return health.is_partly_working


def _has_ended(now: float, view: cell_view.CellView, switch: Switch) -> bool:
    state = view.backends_by_id.get(switch.backend_id)
    if state is None or state.backend.role is switch.role:
        return True
    return now >= switch.since + SWITCH_TIMEOUT_S


def _splits(
    counts: abc.Mapping[cell_types.Role, int],
    *,
    giver: cell_types.Role,
    to: cell_types.Role,
) -> list[dict[cell_types.Role, int]]:
    """Return the splits that moves from ``giver`` to ``to`` can lead to."""
    left = MIN_LEFT if counts[to] else 1
    return [
        {to: counts[to] + moved, giver: counts[giver] - moved}
        for moved in range(1, counts[giver] - left + 1)
    ]


def _other(role: cell_types.Role) -> cell_types.Role:
    if role is cell_types.Role.DECODE:
        return cell_types.Role.PREFILL
    return cell_types.Role.DECODE


def _decode_work_s(
    view: cell_view.CellView, booking: cell_types.Booking
) -> float:
    """Return the engine seconds that an answer takes.

    They follow from its part of the slots or of the KV cache, whichever is
    larger.
    """
    answer = view.answer_tokens(booking)
    stream_s = view.decode_s(booking)
    slots = view.terms.slots_by_role.get(cell_types.Role.DECODE, 1)
    capacity = view.terms.kv_tokens_by_role.get(cell_types.Role.DECODE)
    by_slots = 1.0 / slots
    if capacity is None:
        return stream_s * by_slots
    held = booking.prompt_tokens + answer / 2
    return stream_s * max(by_slots, held / (capacity * MAX_FILL))
