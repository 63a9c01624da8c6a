"""The default policy: decode slots are booked before the prefill starts."""

from collections import abc
import enum
import math

from . import candidates as candidates_module
from . import declines
from . import pairs
from . import prediction
from . import waiting
from .capacity import Resource
from .capacity_use import CapacityUse
from .cell_types import Booking
from .cell_types import Role
from .cell_types import ROLES_BY_STAGE
from .cell_types import Stage
from .cell_view import CellView
from .options import Options
from .options import Order
from .policy import Decision
from .policy import Decline
from .policy import no_backend
from .policy import Place
from .policy import Wait
from .shares import Excess

#: Rank of a KV cache that waits for a decode engine: before all other work.
KV_MOVE_RANK = -1
#: Part of its deadline for which resent work may wait.
LAST_CHANCE_PART = 0.85
#: Seconds that work is moved back in the queue for each second that its
#: answer is expected to take. Memory is held for as long, and answers differ
#: by a factor of eight: if short ones go first, more are in time. The longest
#: answer, of 8 s, is moved back by 2 s, so none starves.
LENGTH_PENALTY = 0.25
#: Part of its deadline for which a call of a plain service waits for a slot.
PLAIN_WAIT_PART = 0.25
#: Calls that may wait for each slot. They take about a tenth of a second, so
#: the last is served within half a second, a quarter of the clients' timeout.
PLAIN_QUEUE_PER_SLOT = 4


class _Urgency(enum.IntEnum):
    """Order of work within a rank; lower goes first."""

    #: Can still meet its first-token target.
    IN_TIME = 0
    #: Was refused before and won't be sent again.
    LAST_CHANCE = 1
    #: Late, but not refused before: its client may send it again.
    MAY_COME_AGAIN = 2


class Scheduler:
    """Books a prefill engine and a decode slot together, or refuses.

    The decode slot is booked before the prefill starts. Otherwise the KV
    cache could wait for one until it is evicted.
    """

    def __init__(self, *, options: Options = Options()) -> None:
        self._options = options
        self._finder = candidates_module.CandidateFinder(
            uses_health=options.health, uses_cap=options.cap
        )
        self._pairs = pairs.PairChooser(options=options, finder=self._finder)
        #: What is asked for and admitted, by rank and account.
        self.capacity_use = CapacityUse()

    def decide(
        self, *, now: float, view: CellView, booking: Booking
    ) -> Decision:
        longest = view.longest_prompt(booking)
        if self._options.sizes and booking.prompt_tokens > longest:
            return declines.exceeds_memory(booking, longest)
        for role in ROLES_BY_STAGE[booking.stage]:
            is_needed = role is not Role.PREFILL or not booking.may_read_there
            if is_needed and not candidates_module.candidates_for(
                view, role, booking
            ):
                if candidates_module.lacks_version(view, role, booking):
                    return declines.version_gone(booking.software_version)
                return no_backend(role)
        if booking.stage is Stage.PLAIN and self._options.queue:
            return self._decide_plain(now, view, booking)
        if booking.stage is Stage.DECODE and self._options.queue:
            return self._decide_move(now, view, booking)
        if booking.stage is not Stage.PAIR or not self._options.queue:
            return self._place(now, view, booking) or declines.full(booking)
        self.capacity_use.add_demand(now, view, booking)
        ahead = self._ahead_of(now, view, booking)
        placed = None if ahead else self._place(now, view, booking)
        decision = placed or self._admit(now, view, booking, ahead)
        if not isinstance(decision, Decline):
            self._count(now, view, booking, decision)
        return decision

    def _decide_plain(
        self, now: float, view: CellView, booking: Booking
    ) -> Decision:
        """Place a call of a plain service, queue it shortly, or refuse it.

        Bursts of such calls end sooner than a refused client would retry.
        """
        self.capacity_use.add_demand(now, view, booking)
        placed = None if view.queue else self._place(now, view, booking)
        if placed is not None:
            self._count(now, view, booking, placed)
            return placed
        excess = self._excess(now, view, booking)
        if excess is not None:
            return declines.over_share(booking, excess)
        if len(view.queue) >= PLAIN_QUEUE_PER_SLOT * _plain_slots(view):
            return declines.full(booking)
        wait_s = (booking.deadline_at - now) * PLAIN_WAIT_PART
        booking.latest_start_at = now + wait_s
        ahead = self._ahead_of(now, view, booking)
        starts_at = prediction.limited_start(
            now, view, Role.PLAIN, booking, len(ahead)
        )
        if starts_at - now > wait_s * (1.0 - self._options.spare):
            return declines.rate_limited(booking, starts_at - now)
        self._count(now, view, booking)
        return Wait(expected_s=starts_at - now)

    def _decide_move(
        self, now: float, view: CellView, booking: Booking
    ) -> Decision:
        """Place a KV cache, or let it wait until it is evicted.

        Where memory is short, an engine rarely has room right now, as freed
        memory goes to the queue at once. If the move were refused at once,
        each prompt whose first decode engine refused it would need a second
        prefill.
        """
        placed = self._place(now, view, booking)
        if placed is not None:
            return placed
        if self._rest_beyond(booking.deadline_at, view, booking):
            return declines.full(booking)
        booking.latest_start_at = booking.deadline_at
        return Wait(expected_s=0.0)

    def _rest_beyond(
        self, at: float, view: CellView, booking: Booking
    ) -> bool:
        """Return whether all decode engines rest until after a time."""
        return all(
            at
            < view.rate_limits.rests_until(
                state.backend.backend_id, state.backend.incarnation
            )
            for state in candidates_module.candidates_for(
                view, Role.DECODE, booking
            )
        )

    def _count(
        self,
        now: float,
        view: CellView,
        booking: Booking,
        decision: Decision | None = None,
    ) -> None:
        """Count work that is admitted, and placed if ``decision`` says so."""
        self.capacity_use.add_usage(now, view, booking)
        if isinstance(decision, Place):
            self.capacity_use.record_prefill(
                view, booking, decision.prefill_id
            )

    def _excess(
        self, now: float, view: CellView, booking: Booking
    ) -> Excess | None:
        """Return by how much an account exceeds its share, if it does."""
        if not self._options.fair:
            return None
        return self.capacity_use.excess(now, view, booking)

    def _higher_rank_part(
        self, now: float, view: CellView, booking: Booking
    ) -> float:
        """Return the part of the cell that work of better rank takes.

        Such work keeps arriving while this booking waits, and goes first.
        Without this, work would be admitted, wait until its latest start and
        then be refused.
        """
        return self.capacity_use.higher_rank_part(now, view, booking)

    def binding(self, *, now: float, view: CellView) -> Resource | None:
        """Return the resource that binds now, if any."""
        return self.capacity_use.binding(now, view)

    def dispatch(
        self, *, now: float, view: CellView
    ) -> list[tuple[Booking, Decision]]:
        """Place the first of the queue, or refuse one past its latest start.

        :returns: one decision; none if the first can't be placed yet. The
            first is that of each software version, if some are bound to one.
        """
        late = view.queue.late(now)
        if late:
            first = min(late, key=lambda each: self._order(now, view, each))
            return [(first, declines.waited(first))]
        full_versions: set[str] = set()
        for first in self._ordered(now, view):
            version = first.software_version
            if version in full_versions:
                continue
            placed = self._place(now, view, first)
            if placed is not None:
                self.capacity_use.record_prefill(
                    view, first, placed.prefill_id
                )
                return [(first, placed)]
            if version is None:
                break
            # Its version is full; that must not hold up all others.
            full_versions.add(version)
        return []

    def _order(
        self, now: float, view: CellView, booking: Booking
    ) -> tuple[float, ...]:
        return self._timed_order(now, view, booking)[0]

    def _timed_order(
        self, now: float, view: CellView, booking: Booking
    ) -> waiting.TimedKey:
        """Return what the queue is sorted by, and until when it is valid."""
        if booking.stage is Stage.DECODE:
            # Engines keep a KV cache for half a second only.
            return (KV_MOVE_RANK, booking.arrived_at), math.inf
        if self._options.order is Order.ARRIVAL:
            return (booking.arrived_at,), math.inf
        if self._options.order is Order.DEADLINE:
            latest_at = prediction.latest_start(view, booking)
            return (latest_at, booking.arrived_at), math.inf
        rank = prediction.rank_of(view, booking)
        if not self._options.timely:
            return (rank, booking.arrived_at), math.inf
        penalty_s = LENGTH_PENALTY * view.decode_s(booking)
        urgency, until = _urgency(now, view, booking)
        return (rank, urgency, booking.arrived_at + penalty_s), until

    def _ordered(self, now: float, view: CellView) -> abc.Iterator[Booking]:
        return view.queue.ordered(
            now, lambda each: self._timed_order(now, view, each), view.pace
        )

    def _ahead_of(
        self, now: float, view: CellView, booking: Booking
    ) -> list[Booking]:
        if not view.queue:
            return []
        return view.queue.ahead_of(
            self._order(now, view, booking),
            now,
            lambda each: self._timed_order(now, view, each),
            view.pace,
        )

    def _admit(
        self,
        now: float,
        view: CellView,
        booking: Booking,
        ahead: list[Booking],
    ) -> Decision:
        excess = self._excess(now, view, booking)
        if excess is not None:
            return declines.over_share(booking, excess)
        starts_at = prediction.expected_start(now, view, [*ahead, booking])
        if self._options.foresee:
            left = 1.0 - self._higher_rank_part(now, view, booking)
            starts_at = now + (starts_at - now) / left
        latest = prediction.latest_start(view, booking)
        if booking.resent:
            # Its client doesn't retry after another refusal, so it may wait
            # longer; but it gets an answer before its own deadline.
            patience_s = booking.deadline_at - booking.arrived_at
            latest = booking.arrived_at + LAST_CHANCE_PART * patience_s
        spare_s = self._options.spare * (latest - booking.arrived_at)
        late_s = starts_at - (latest - spare_s)
        if late_s > 0.0:
            return declines.late(booking, late_s)
        booking.latest_start_at = latest
        return Wait(expected_s=starts_at - now)

    def _place(
        self, now: float, view: CellView, booking: Booking
    ) -> Place | None:
        if booking.stage is Stage.PAIR:
            return self._pairs.place(now, view, booking)
        role = ROLES_BY_STAGE[booking.stage][0]
        candidates = self._finder.find(now, view, role, booking)
        if not candidates:
            return None
        backend_id = candidates_module.most_free(candidates).backend.backend_id
        if role is Role.PLAIN:
            return Place(plain_id=backend_id)
        return Place(decode_id=backend_id)


def _urgency(
    now: float, view: CellView, booking: Booking
) -> tuple[_Urgency, float]:
    """Return how urgent a booking is within its rank, and until when.

    In order of arrival, late work would go first and make all that follows
    late, too: for minutes after an overload nothing would be in time.
    """
    if booking.resent:
        return _Urgency.LAST_CHANCE, math.inf
    timely_at = prediction.timely_start(view, booking)
    if now <= timely_at:
        return _Urgency.IN_TIME, timely_at
    return _Urgency.MAY_COME_AGAIN, math.inf


def _plain_slots(view: CellView) -> int:
    """Return how many calls of a plain service can run at one time."""
    return sum(
        state.backend.slots for state in view.candidates(Role.PLAIN, ())
    )
