"""Chooses the prefill engine and the decode engine for a prompt."""

from collections import abc
import math

import msgspec

from . import candidates as candidates_module
from . import prediction
from .backend_state import BackendState
from .cell_types import Booking
from .cell_types import Role
from .cell_types import Weights
from .cell_view import CellView
from .options import Options
from .policy import Place

#: A prompt is sent to its engine this long before the prefill ahead of it
#: ends. With 0.02 s, a single prefill engine served 5.5 prompts a second,
#: although it takes 0.09 s for each: it was idle during the network hops from
#: its answer to the next prompt.
SEND_AHEAD_S = 0.1
#: Decimal places of compared link times: equal ones differ by at most 10 ms.
LINK_TIME_DIGITS = 2
#: Longest planned wait of a KV cache for a link: the first applies if only
#: wasted prefill has a weight, the second if only goodput has. Engines keep
#: the cache for somewhat under a second, and predictions are off by some
#: tenths.
MIN_LINK_WAIT_S = 0.1
MAX_LINK_WAIT_S = 0.7
#: The same, if the weights aren't used.
FIXED_LINK_WAIT_S = 0.25
#: Wait for a prefill engine, in seconds, above which a decode engine does the
#: prefill itself, which takes it some 0.2 s for 3,000 tokens.
DECODE_PREFILL_AFTER_S = 0.4
#: How full a decode engine's KV cache may get by a prefill while prefill
#: engines are available. A queue beside full decode engines waits for memory,
#: not for prefill engines, and a prefill slows the streams that would free it.
#: Without this bound and the one on pauses 0.336 and 0.538 of the value of all
#: calls was delivered, with both 0.514 and 0.604, in one run each of two
#: loads.
DECODE_PREFILL_MAX_FILL = 0.6


class _Source(msgspec.Struct, frozen=True, kw_only=True):
    """A prefill engine that a prompt may be sent to.

    :param number: its index in the list of all; the lowest wins a tie.
    :param done_at: predicted end of the prefill.
    :param ready_at: when its link could then transfer the KV cache.
    """

    state: BackendState
    number: int
    done_at: float
    ready_at: float

    @property
    def times(self) -> tuple[float, float]:
        """The times that determine its cost with any given decode engine."""
        return self.ready_at, self.done_at


class PairChooser:
    """Chooses pairs of a prefill and a decode engine; stateless.

    :param finder: finds engines that have room.
    """

    def __init__(
        self, *, options: Options, finder: candidates_module.CandidateFinder
    ) -> None:
        self._options = options
        self._finder = finder

    def place(
        self, now: float, view: CellView, booking: Booking
    ) -> Place | None:
        """Choose a pair, or a decode engine alone if prefill engines are busy.

        A decode engine does the prefill between the tokens of its streams, at
        half the speed. If there is no prefill engine, or all are busy for
        long, that is faster than waiting for one.

        :returns: ``None`` if the booking has to wait.
        """
        placed = self._choose_pair(now, view, booking)
        if placed is not None or not booking.may_read_there:
            return placed
        wait_s, queued_s = self._prefill_wait_s(now, view, booking)
        if wait_s + queued_s < DECODE_PREFILL_AFTER_S:
            return None
        found = self._finder.find(now, view, Role.DECODE, booking)
        if wait_s < DECODE_PREFILL_AFTER_S:
            found = [
                each
                for each in found
                if _may_prefill(now, view, each.state, booking)
            ]
        if not found:
            return None
        return Place(
            decode_id=candidates_module.most_free(found).backend.backend_id
        )

    def _prefill_wait_s(
        self, now: float, view: CellView, booking: Booking
    ) -> tuple[float, float]:
        """Return the wait for a prefill engine, in two parts.

        An engine's own backlog isn't enough: it gets its next prompt only
        when it is nearly done. Without the queue, one prefill engine would
        have a queue of two seconds while decode engines, which could do
        prefills, are half empty.

        :returns: seconds until the first prefill engine is free, and how long
            each then needs for its part of the queue.
        """
        engines = [
            state
            for state in self._finder.prefill_engines(now, view, booking)
            if not view.rate_limits.is_resting(
                now, state.backend.backend_id, state.backend.incarnation
            )
        ]
        if not engines:
            return math.inf, 0.0
        free_at = min(view.prefill_ready_at(now, state) for state in engines)
        queued_s = view.queue.pair_tokens / view.terms.prefill_tokens_per_s
        return free_at - now, queued_s / len(engines)

    def _choose_pair(
        self, now: float, view: CellView, booking: Booking
    ) -> Place | None:
        """Choose the pair whose transfer of the KV cache can start first.

        Cached blocks shorten a prefill, so a prompt goes to the engine that
        has cached its prefix, unless that is busier by more than it saves.
        """
        candidates = self._finder.find(now, view, Role.DECODE, booking)
        if not candidates:
            return None
        sources = sorted(
            self._sources(now, view, booking),
            key=lambda each: (each.times, each.number),
        )
        best: tuple[tuple[float, ...], int, Place] | None = None
        times: tuple[float, float] | None = None
        for source in sources:
            # Most prefill engines are ready too late to be better than the
            # best pair so far, or at the same time as the one before.
            # Comparing all pairs of 20 prefill and 39 decode engines took
            # 0.044 of a core at 60 requests a second, and takes 0.020 if
            # these are skipped.
            if best is not None and self._min_cost(source) > best[0][0]:
                break
            if source.times == times:
                continue
            times = source.times
            found = self._choose_decode(view, source, candidates)
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
        """Yield the prefill engines that a prompt may be sent to now."""
        engines = self._finder.prefill_engines(now, view, booking)
        for number, state in enumerate(engines):
            if not view.rate_limits.allows(now, state.backend):
                continue
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

    def _min_cost(self, source: _Source) -> float:
        """Return a lower bound of the first part of this source's costs."""
        if not self._options.links:
            return source.done_at
        return round(source.ready_at, LINK_TIME_DIGITS)

    def _choose_decode(
        self,
        view: CellView,
        source: _Source,
        candidates: list[candidates_module.BackendCandidate],
    ) -> tuple[tuple[float, ...], BackendState] | None:
        """Return the least cost and its decode engine.

        A KV cache that waits for a link is evicted in under a second. So a
        prefill whose KV cache would wait too long isn't started yet:
        otherwise imports would be answered with "evicted" and prompts be
        computed twice.

        :returns: ``None`` if there is no decode engine in time.
        """
        if not self._options.links:
            candidate = max(candidates, key=lambda each: each.free)
            return (source.done_at, -candidate.free), candidate.state
        latest_at = source.done_at + self._longest_link_wait_s(view)
        source_at = source.ready_at
        costs = [
            (
                (round(moves_at, LINK_TIME_DIGITS), -candidate.free),
                candidate.state,
            )
            for candidate in candidates
            if (moves_at := max(source_at, candidate.state.link_free_at))
            <= latest_at
        ]
        return min(costs, key=lambda each: each[0], default=None)

    def _longest_link_wait_s(self, view: CellView) -> float:
        if not self._options.weigh:
            return FIXED_LINK_WAIT_S
        return link_wait_s(view.terms.weights)


def _may_prefill(
    now: float, view: CellView, state: BackendState, booking: Booking
) -> bool:
    """Return whether a decode engine may do a prefill beside prefill engines.

    The prefill may fill its KV cache up to :data:`DECODE_PREFILL_MAX_FILL`.
    Its streams must stay within the token gap's target, so there is one
    prefill at a time, and none that pauses them for longer.
    """
    pause_s = view.terms.token_gap_s
    has_just_read = any(
        not each.prefill_id and now < (each.start_at or now) + pause_s
        for each in state.bookings_by_key.values()
    )
    return (
        not has_just_read
        and prediction.prefill_pause_s(view, booking.prompt_tokens) <= pause_s
        and view.kv_fraction(now, state, booking) <= DECODE_PREFILL_MAX_FILL
    )


def link_wait_s(weights: Weights) -> float:
    """Return the longest planned wait of a KV cache for a link, in seconds.

    A longer wait keeps prefill engines busier, but risks that KV caches are
    evicted: the document's weights decide which matters more.
    """
    total = weights.goodput + weights.wasted_prefill
    part = weights.goodput / total if total > 0.0 else 0.5
    span_s = MAX_LINK_WAIT_S - MIN_LINK_WAIT_S
    return MIN_LINK_WAIT_S + span_s * part
