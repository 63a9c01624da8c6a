"""Which reader and which decode engine take a prompt together."""

from collections import abc
import math

import msgspec

from . import prediction
from . import rooms as rooms_module
from .backend_state import BackendState
from .cell_view import CellView
from .options import Options
from .policy import Place
from .vocabulary import Booking
from .vocabulary import Role
from .vocabulary import Stage
from .vocabulary import Weights

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
#: Seconds of work that all readers of prompts must have before a decode
#: engine reads one by itself, which takes it some 0.2 s for 3,000 tokens.
READ_THERE_AFTER_S = 0.4
#: How full its KV cache may get by that while readers go on: a queue beside
#: full engines waits for memory, not for readers, and reading slows what would
#: free it. Of the value of all calls 0.336 and 0.538 was delivered in one run
#: each of two loads without this bound and that on pauses, 0.514 and 0.604
#: with both.
READ_THERE_FILL = 0.6


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


class Pairs:
    """Chooses pairs; keeps nothing from one choice to the next.

    :param rooms: finds engines that have room.
    """

    def __init__(self, *, options: Options, rooms: rooms_module.Rooms) -> None:
        self._options = options
        self._rooms = rooms

    def place(
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


def link_wait_s(weights: Weights) -> float:
    """Return the longest planned wait of a KV cache for a link.

    A long wait keeps prefill engines busy and risks that results are
    evicted: the document's weights say which matters more.
    """
    total = weights.goodput + weights.wasted_prefill
    part = weights.goodput / total if total > 0.0 else 0.5
    span_s = MOST_LINK_WAIT_S - LEAST_LINK_WAIT_S
    return LEAST_LINK_WAIT_S + span_s * part
