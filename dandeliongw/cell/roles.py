"""How many engines of a cell should read prompts, and how many decode.

Both pools work on every request. With too many engines in one of them the
other is full first, and callers are turned away while engines stand idle. An
engine that changes its role takes no work for some seconds, so one is moved
only where that gains much, and the next one not before a good while.
"""

from collections import abc
import dataclasses
import math

from . import policy
from .forecast import FILL_PART

#: Requests seen before their mean counts for anything.
LEAST_SEEN = 12
#: Smallest gain in the load of the fuller pool that is worth a move.
LEAST_GAIN = 1.2
#: Seconds in which an engine should have taken its new role on.
MOST_SWITCH_S = 15.0
#: Seconds between two moves in one cell. An order that got no answer may be
#: carried out a dozen seconds later; it must not cross the next one.
REST_S = 20.0
#: Engines that a pool keeps when it gives one to a pool that has some: with
#: a single one, its failure leaves every prompt to the decode engines, whose
#: streams then come late (worth 0.12 to 0.28 of a second instead of 0.9).
LEAST_LEFT = 2
#: Seconds that a pool must have been empty before the rest is cut short;
#: longer than all engines take to show up again after a power loss.
EMPTY_S = 3.0
#: Weight of a new request in the means.
SMOOTHING = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Switch:
    """An engine on its way to another role."""

    backend_id: str
    role: policy.Role
    since: float


class RoleBalance:
    """Watches the work of one cell and moves engines between its pools."""

    def __init__(self) -> None:
        self.switch: Switch | None = None
        self._seen = 0
        self._rest_until = -math.inf
        self._empty_since: float | None = None
        #: Engine seconds that a request takes, by role.
        self._work_by_role = {
            policy.Role.PREFILL: 0.0,
            policy.Role.DECODE: 0.0,
        }

    def note(self, view: policy.CellView, booking: policy.Booking) -> None:
        """Take a request into the means."""
        self._seen += 1
        part = max(SMOOTHING, 1.0 / self._seen)
        work_by_role = {
            policy.Role.PREFILL: booking.prompt_tokens
            / view.terms.prefill_tokens_per_s,
            policy.Role.DECODE: _decode_work_s(view, booking),
        }
        for role, work_s in work_by_role.items():
            mean_s = self._work_by_role[role]
            self._work_by_role[role] = mean_s + part * (work_s - mean_s)

    def review(self, now: float, view: policy.CellView) -> bool:
        """Begin or end a move; return whether anything changed."""
        if self.switch is not None:
            return self._end_switch(now, view)
        rests = now < self._rest_until and not self._stays_empty(now, view)
        if self._seen < LEAST_SEEN or rests:
            return False
        wanted = self._choose(now, view)
        if wanted is None:
            return False
        self.switch = wanted
        self._empty_since = None
        self._rest_until = now + REST_S
        return True

    def _stays_empty(self, now: float, view: policy.CellView) -> bool:
        """Return whether a pool has had no engine at all for a while."""
        if all(view.candidates(role, ()) for role in self._work_by_role):
            self._empty_since = None
            return False
        if self._empty_since is None:
            self._empty_since = now
        return now >= self._empty_since + EMPTY_S

    def _end_switch(self, now: float, view: policy.CellView) -> bool:
        state = view.backends_by_id.get(self.switch.backend_id)
        is_done = state is None or state.backend.role is self.switch.role
        if not is_done and now < self.switch.since + MOST_SWITCH_S:
            return False
        self.switch = None
        return True

    def _choose(self, now: float, view: policy.CellView) -> Switch | None:
        counts = {
            role: sum(
                not state.health.is_ejected(now)
                for state in view.candidates(role, ())
            )
            for role in self._work_by_role
        }
        to = min(counts, key=lambda role: -self._load(counts, role))
        giver = _other(to)
        if counts[giver] <= (LEAST_LEFT if counts[to] else 1):
            return None
        after = {to: counts[to] + 1, giver: counts[giver] - 1}
        if self._most(counts) < LEAST_GAIN * self._most(after):
            return None
        givers = [
            state
            for state in view.candidates(giver, ())
            if not state.health.is_ejected(now)
        ]
        chosen = min(
            givers,
            key=lambda state: (
                len(state.bookings_by_key),
                state.backend.backend_id,
            ),
        )
        return Switch(backend_id=chosen.backend.backend_id, role=to, since=now)

    def _most(self, counts: abc.Mapping[policy.Role, int]) -> float:
        return max(self._load(counts, role) for role in counts)

    def _load(
        self, counts: abc.Mapping[policy.Role, int], role: policy.Role
    ) -> float:
        """Return the load of a pool at one request a second."""
        work_s = self._work_by_role[role]
        return work_s / counts[role] if counts[role] else math.inf


def _other(role: policy.Role) -> policy.Role:
    if role is policy.Role.DECODE:
        return policy.Role.PREFILL
    return policy.Role.DECODE


def _decode_work_s(view: policy.CellView, booking: policy.Booking) -> float:
    """Return engine seconds, by slots or by memory, whichever is scarcer."""
    answer = view.answer_tokens(booking)
    stream_s = view.decode_s(booking)
    slots = view.terms.slots_by_role.get(policy.Role.DECODE, 1)
    capacity = view.terms.kv_tokens_by_role.get(policy.Role.DECODE)
    by_slots = 1.0 / slots
    if capacity is None:
        return stream_s * by_slots
    held = booking.prompt_tokens + answer / 2
    return stream_s * max(by_slots, held / (capacity * FILL_PART))
