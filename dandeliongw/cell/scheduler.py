"""The policy in force: exact slots, booked before a prefill starts."""

from collections import abc
import enum
import math

import msgspec

from . import declines
from . import prediction
from . import rooms as rooms_module
from .policy import BackendState
from .policy import Booking
from .policy import CellView
from .policy import Decision
from .policy import Decline
from .policy import no_backend
from .policy import Place
from .policy import Role
from .policy import ROLES_BY_STAGE
from .policy import Stage
from .policy import Wait
from .policy import Weights
from .shares import FairShares
from .shares import Flow

#: A prompt goes to its engine so long before the one ahead of it is done. Sent
#: 0.02 s before, an only reader passed 5.5 prompts a second where it reads one
#: in 0.09 s: the hops from its answer to the next prompt left it idle.
SEND_AHEAD_S = 0.1
#: Times that differ by less than 10 ms count as equal.
LINK_DIGITS = 2
#: Planned wait of a KV cache for a link, the longest where wasted prefill
#: is all that counts and where goodput is. Engines keep the cache for
#: somewhat under a second, and predictions err by some tenths.
LEAST_LINK_WAIT_S = 0.1
MOST_LINK_WAIT_S = 0.7
#: Of the versions that didn't look at the weights.
FIXED_LINK_WAIT_S = 0.25
#: Of a KV cache that waits for an engine: before all others.
MOVE_RANK = -1
#: Patient work keeps at least a tenth in every prediction.
MOST_PASSING = 0.9
#: Part of its caller's time for which a last chance may wait.
LAST_CHANCE_PART = 0.85
#: Seconds that work goes back in the queue for each second that its answer
#: will take. Memory is held for as long, and answers differ by a factor of
#: eight: with the short ones first more are in time. An answer of 8 s, the
#: longest, goes back by 2 s, so that none waits without end.
LENGTH_HANDICAP = 0.25
#: Seconds of work that all readers of prompts must have before a decode
#: engine reads one by itself, which takes it some 0.2 s for 3,000 tokens.
READ_THERE_AFTER_S = 0.4
#: How full its KV cache may get by that while readers go on: a queue beside
#: full engines waits for memory, not for readers, and reading slows what would
#: free it. One play each of two days was worth 0.336 and 0.538 without this
#: bound and that on pauses, and 0.514 and 0.604 with both.
READ_THERE_FILL = 0.6
#: Part of its time that a call of a plain service waits for a slot.
PLAIN_WAIT_PART = 0.25
#: Calls that may wait for each slot. They take about a tenth of a second, so
#: the last is served within half a second, a quarter of what callers wait.
PLAIN_QUEUE_PER_SLOT = 4


class _Hope(enum.IntEnum):
    """Whom a start now helps most; lower goes first."""

    IN_TIME = 0
    LAST_CHANCE = 1
    #: Late, and not yet turned away once.
    MAY_COME_AGAIN = 2


class _Source(msgspec.Struct, frozen=True, kw_only=True):
    """A reader that a prompt may be sent to.

    :param number: its place among all of them; the first wins a tie.
    :param done_at: when it would have read the prompt.
    :param ready_at: when its link could then carry the KV cache.
    """

    state: BackendState
    number: int
    done_at: float
    ready_at: float

    @property
    def times(self) -> tuple[float, float]:
        """What its cost depends on, with any decode engine."""
        return self.ready_at, self.done_at


class Order(enum.Enum):
    """Who goes first among those who wait."""

    ARRIVAL = 'arrival'
    #: By the latest start that still meets the target: urgent work passes
    #: patient work until that has waited as long as it may.
    DEADLINE = 'deadline'
    RANK = 'rank'


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Which decisions are made; earlier versions lack the later ones.

    :param queue: let admitted work wait at the owner for a slot; refuse
        what can't meet its first-token target.
    :param order: of those who wait.
    :param foresee: count on the work that will pass while one waits.
    :param affinity: prefer a prefill engine that has cached the prefix.
    :param links: book the links with the pair.
    :param cap: hold the token gap by using fewer slots.
    :param weigh: let the document's weights say how long a KV cache may
        wait for a link.
    :param fair: hold accounts to their share when the cell is full.
    :param spare: part of the longest wait that predictions must leave over.
    :param health: leave out what keeps failing; let new ones in slowly.
    :param timely: within a rank, work that can still meet its target passes
        work that can't; after a burst only the surplus is late, not all.
    """

    queue: bool = True
    order: Order = Order.RANK
    foresee: bool = True
    affinity: bool = True
    links: bool = True
    health: bool = True
    fair: bool = True
    spare: float = 0.1
    cap: bool = True
    timely: bool = True
    weigh: bool = True


class Scheduler:
    """Books a prefill engine and a decode slot together, or refuses.

    A decode slot is taken before the prefill starts, so that its result
    never waits for one until it is evicted.
    """

    def __init__(self, *, options: Options = Options()) -> None:
        self._options = options
        self._rooms = rooms_module.Rooms(
            heeds_health=options.health, heeds_cap=options.cap
        )
        #: Slot seconds and prefill seconds that were let in, by rank.
        self._slot_flow_by_rank: dict[int, Flow] = {}
        self._prefill_flow_by_rank: dict[int, Flow] = {}
        self._shares_by_rank: dict[int, FairShares] = {}

    def decide(
        self, *, now: float, view: CellView, booking: Booking
    ) -> Decision:
        for role in ROLES_BY_STAGE[booking.stage]:
            is_needed = role is not Role.PREFILL or not booking.may_read_there
            if is_needed and not rooms_module.candidates_for(
                view, role, booking
            ):
                return no_backend(role)
        if booking.stage is Stage.PLAIN and self._options.queue:
            return self._decide_plain(now, view, booking)
        if booking.stage is Stage.DECODE and self._options.queue:
            return self._decide_move(now, view, booking)
        if booking.stage is not Stage.PAIR or not self._options.queue:
            return self._place(now, view, booking) or declines.full(booking)
        slot_s = view.transfer_s(booking) + view.decode_s(booking)
        self._shares(view, booking).want(now, booking.account, slot_s)
        ahead = self._ahead_of(now, view, booking)
        placed = None if ahead else self._place(now, view, booking)
        decision = placed or self._admit(now, view, booking, ahead)
        if not isinstance(decision, Decline):
            self._count(now, view, booking)
        return decision

    def _decide_plain(
        self, now: float, view: CellView, booking: Booking
    ) -> Decision:
        """Let a call of a plain service wait a little for a free slot.

        Calls come in bunches that are over sooner than a caller is back.
        """
        placed = None if view.queue else self._place(now, view, booking)
        if placed is not None:
            return placed
        if len(view.queue) >= PLAIN_QUEUE_PER_SLOT * _plain_slots(view):
            return declines.full(booking)
        left_s = booking.deadline_at - now
        booking.latest_start_at = now + left_s * PLAIN_WAIT_PART
        return Wait(expected_s=0.0)

    def _decide_move(
        self, now: float, view: CellView, booking: Booking
    ) -> Decision:
        """Let a KV cache wait for an engine as long as it is kept.

        Where memory is short, an engine with room right now is rare: what
        becomes free goes to the queue at once. Refused at once, one would
        see each prompt read again whose first engine refused it.
        """
        placed = self._place(now, view, booking)
        if placed is not None:
            return placed
        booking.latest_start_at = booking.deadline_at
        return Wait(expected_s=0.0)

    def _count(self, now: float, view: CellView, booking: Booking) -> None:
        rank = prediction.rank_of(view, booking)
        slot_s = view.transfer_s(booking) + view.decode_s(booking)
        self._shares(view, booking).give(now, booking.account, slot_s)
        slots = self._slot_flow_by_rank.setdefault(rank, Flow())
        slots.add(now, slot_s)
        prefills = self._prefill_flow_by_rank.setdefault(rank, Flow())
        prefills.add(now, prediction.prefill_s(view, booking))

    def _shares(self, view: CellView, booking: Booking) -> FairShares:
        rank = prediction.rank_of(view, booking)
        return self._shares_by_rank.setdefault(rank, FairShares())

    def _is_over_share(
        self, now: float, view: CellView, booking: Booking
    ) -> bool:
        """Return whether the account has its share of what its rank gets.

        Ranks are held apart: an account's many patient calls say nothing
        against its urgent ones.
        """
        rank = prediction.rank_of(view, booking)
        slots = sum(
            state.backend.slots for state in view.candidates(Role.DECODE, ())
        )
        passing = sum(
            flow.rate(now)
            for each, flow in self._slot_flow_by_rank.items()
            if each < rank
        )
        return self._shares(view, booking).is_over(
            now,
            booking.account,
            view.terms.share_by_account,
            max(0.0, slots - passing),
        )

    def _passing_part(
        self, now: float, view: CellView, booking: Booking
    ) -> float:
        """Return the part of the cell that goes to work of better rank.

        Such work keeps coming while this waits, and passes it. One would
        notice work that was admitted, waited to its bound and was refused.
        """
        rank = prediction.rank_of(view, booking)
        parts = []
        for role, flows in (
            (Role.DECODE, self._slot_flow_by_rank),
            (Role.PREFILL, self._prefill_flow_by_rank),
        ):
            total = sum(
                state.backend.slots for state in view.candidates(role, ())
            )
            passing = sum(
                flow.rate(now) for each, flow in flows.items() if each < rank
            )
            parts.append(passing / max(1, total))
        return min(max(parts), MOST_PASSING)

    def dispatch(
        self, *, now: float, view: CellView
    ) -> list[tuple[Booking, Decision]]:
        """Place the first in the queue, or refuse one that is too late."""
        late = [each for each in view.queue if now > each.latest_start_at]
        if late:
            first = self._first(now, view, late)
            return [(first, declines.waited(first))]
        first = self._first(now, view, view.queue)
        placed = self._place(now, view, first)
        return [] if placed is None else [(first, placed)]

    def _first(
        self, now: float, view: CellView, bookings: list[Booking]
    ) -> Booking:
        return min(bookings, key=lambda each: self._order(now, view, each))

    def _order(
        self, now: float, view: CellView, booking: Booking
    ) -> tuple[float, ...]:
        if booking.stage is Stage.DECODE:
            # A KV cache is kept for half a second only.
            return MOVE_RANK, booking.arrived_at
        if self._options.order is Order.ARRIVAL:
            return (booking.arrived_at,)
        if self._options.order is Order.DEADLINE:
            return prediction.latest_start(view, booking), booking.arrived_at
        rank = prediction.rank_of(view, booking)
        if not self._options.timely:
            return rank, booking.arrived_at
        handicap_s = LENGTH_HANDICAP * view.decode_s(booking)
        hope = _hope(now, view, booking)
        return rank, hope, booking.arrived_at + handicap_s

    def _ahead_of(
        self, now: float, view: CellView, booking: Booking
    ) -> list[Booking]:
        mine = self._order(now, view, booking)
        ordered = [(self._order(now, view, each), each) for each in view.queue]
        ordered = [pair for pair in ordered if pair[0] <= mine]
        ordered.sort(key=lambda pair: pair[0])
        return [each for _, each in ordered]

    def _admit(
        self,
        now: float,
        view: CellView,
        booking: Booking,
        ahead: list[Booking],
    ) -> Decision:
        if self._options.fair and self._is_over_share(now, view, booking):
            return declines.over_share(booking)
        starts_at = prediction.expected_start(now, view, [*ahead, booking])
        if self._options.foresee:
            left = 1.0 - self._passing_part(now, view, booking)
            starts_at = now + (starts_at - now) / left
        latest = prediction.latest_start(view, booking)
        if booking.resent:
            # Turned away once more, its caller would be lost; but it is told
            # before it leaves by itself.
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
            return self._place_pair(now, view, booking)
        role = ROLES_BY_STAGE[booking.stage][0]
        rooms = self._rooms.find(now, view, role, booking)
        if not rooms:
            return None
        backend_id = rooms_module.freest(rooms).backend.backend_id
        if role is Role.PLAIN:
            return Place(plain_id=backend_id)
        return Place(decode_id=backend_id)

    def _place_pair(
        self, now: float, view: CellView, booking: Booking
    ) -> Place | None:
        """Choose a pair; without a reader in time, a decode engine alone.

        It reads the prompt between the tokens of its other work, at half
        the pace. With no reader left, or all of them busy for long, that is
        sooner than to wait for one.
        """
        placed = self._choose_pair(now, view, booking)
        if placed is not None or not booking.may_read_there:
            return placed
        wait_s, queued_s = self._reader_wait_s(now, view, booking)
        if wait_s + queued_s < READ_THERE_AFTER_S:
            return None
        rooms = self._rooms.find(now, view, Role.DECODE, booking)
        if wait_s < READ_THERE_AFTER_S:
            rooms = [
                room
                for room in rooms
                if _may_read(now, view, room.state, booking)
            ]
        if not rooms:
            return None
        return Place(decode_id=rooms_module.freest(rooms).backend.backend_id)

    def _reader_wait_s(
        self, now: float, view: CellView, booking: Booking
    ) -> tuple[float, float]:
        """Return when a reader is free, and how long its queue then takes.

        The reader alone tells little: it gets its next prompt when it is
        nearly done. One would see a queue of two seconds before one reader
        while the decode engines, which could read, are half empty.
        """
        readers = self._rooms.readers(now, view, booking)
        if not readers:
            return math.inf, 0.0
        free_at = min(state.prefill_free_at(now) for state in readers)
        queued_s = sum(
            prediction.prefill_s(view, each)
            for each in view.queue
            if each.stage is Stage.PAIR
        )
        return free_at - now, queued_s / len(readers)

    def _choose_pair(
        self, now: float, view: CellView, booking: Booking
    ) -> Place | None:
        """Choose the pair over which the KV cache would be moved first.

        What an engine has cached shortens its work, so prompts go back to
        the cache they know unless it is busier by more than it saves.
        """
        rooms = self._rooms.find(now, view, Role.DECODE, booking)
        if not rooms:
            return None
        sources = sorted(
            self._sources(now, view, booking),
            key=lambda each: (each.times, each.number),
        )
        best: tuple[tuple[float, ...], int, Place] | None = None
        times: tuple[float, float] | None = None
        for source in sources:
            # Most readers are ready too late to cost less than one that was
            # looked at, or exactly when it is. A look at each pair of 20
            # readers and 39 decode engines took 0.044 of a core at 60
            # requests a second, and takes 0.020 like this.
            if best is not None and self._earliest(source) > best[0][0]:
                break
            if source.times == times:
                continue
            times = source.times
            found = self._choose_room(view, source, rooms)
            if found is None:
                continue
            cost, decode = found
            if best is None or (cost, source.number) < best[:2]:
                place = Place(
                    prefill_id=source.state.backend.backend_id,
                    decode_id=decode.backend.backend_id,
                )
                best = cost, source.number, place
        return best[2] if best else None

    def _sources(
        self, now: float, view: CellView, booking: Booking
    ) -> abc.Iterator[_Source]:
        """Yield the readers that a prompt may be sent to now."""
        readers = self._rooms.readers(now, view, booking)
        for number, state in enumerate(readers):
            done_at = state.prefill_free_at(now)
            if self._options.queue and done_at - now > SEND_AHEAD_S:
                continue
            if self._options.affinity:
                done_at += view.prefill_work_s(state, booking)
            ready_at = done_at
            if self._options.links:
                ready_at = max(done_at, state.link_free_at)
            yield _Source(
                state=state,
                number=number,
                done_at=done_at,
                ready_at=ready_at,
            )

    def _earliest(self, source: _Source) -> float:
        """Return the least first part of a cost with this reader."""
        if not self._options.links:
            return source.done_at
        return round(source.ready_at, LINK_DIGITS)

    def _choose_room(
        self,
        view: CellView,
        source: _Source,
        rooms: list[rooms_module.Room],
    ) -> tuple[tuple[float, ...], BackendState] | None:
        """Return the least cost and its decode engine.

        A KV cache that waits for a link is evicted in under a second. One
        would notice imports answered with "evicted" and prompts computed
        twice; a prefill that would wait long is not started yet.
        """
        if not self._options.links:
            room = max(rooms, key=lambda each: each.free)
            return (source.done_at, -room.free), room.state
        latest_at = source.done_at + self._longest_link_wait_s(view)
        source_at = source.ready_at
        costs = [
            ((round(moves_at, LINK_DIGITS), -room.free), room.state)
            for room in rooms
            if (moves_at := max(source_at, room.state.link_free_at))
            <= latest_at
        ]
        return min(costs, key=lambda each: each[0], default=None)

    def _longest_link_wait_s(self, view: CellView) -> float:
        if not self._options.weigh:
            return FIXED_LINK_WAIT_S
        return link_wait_s(view.terms.weights)


def _hope(now: float, view: CellView, booking: Booking) -> _Hope:
    """Return what a start now is worth to its caller.

    With those who came before in front, one overload would make all that
    follows late; one would see a queue in which nothing is in time for
    minutes after its cause.
    """
    if booking.resent:
        return _Hope.LAST_CHANCE
    if now <= prediction.timely_start(view, booking):
        return _Hope.IN_TIME
    return _Hope.MAY_COME_AGAIN


def _may_read(
    now: float, view: CellView, state: BackendState, booking: Booking
) -> bool:
    """Whether an engine may read a prompt though readers go on.

    It has to be half empty, and the streams beside it have to stay in time:
    one prompt at a time, and none that takes longer than they may pause.
    """
    pause_s = view.terms.token_gap_s
    has_just_read = any(
        not each.prefill_id and now < (each.start_at or now) + pause_s
        for each in state.bookings_by_key.values()
    )
    return (
        not has_just_read
        and prediction.reading_pause_s(view, booking.prompt_tokens) <= pause_s
        and view.kv_part(now, state, booking) <= READ_THERE_FILL
    )


def _plain_slots(view: CellView) -> int:
    """Return how many calls of a plain service run at one time."""
    return sum(
        state.backend.slots for state in view.candidates(Role.PLAIN, ())
    )


def link_wait_s(weights: Weights) -> float:
    """Return the longest planned wait of a KV cache for a link.

    A long wait keeps prefill engines busy and risks that results are
    evicted: the document's weights say which matters more.
    """
    total = weights.goodput + weights.wasted_prefill
    part = weights.goodput / total if total > 0.0 else 0.5
    span_s = MOST_LINK_WAIT_S - LEAST_LINK_WAIT_S
    return LEAST_LINK_WAIT_S + span_s * part
