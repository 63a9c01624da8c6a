"""Predicts when work will start, and computes until when it may."""

import bisect
import heapq
import math

from . import candidates
from .cell_messages import Book
from .cell_types import Booking
from .cell_types import Role
from .cell_view import CellView

#: How many times as long a decode engine takes for a prefill as a prefill
#: engine: it works at half the speed.
DECODE_PREFILL_SLOWDOWN = 2.0
#: Tokens of a prompt that a decode engine computes at once, as one chunk,
#: between two tokens of its streams: a quarter of a prefill engine's 2,048, by
#: the engines' description.
DECODE_PREFILL_CHUNK_TOKENS = 512
#: Rank of a priority that isn't in the document.
LAST_RANK = 1_000


def rank_of(view: CellView, booking: Booking | Book) -> int:
    """Return the rank of a booking's priority; lower goes first."""
    return view.terms.rank_by_priority.get(booking.priority, LAST_RANK)


def prefill_s(view: CellView, booking: Booking) -> float:
    """Return how long a prefill takes at nominal speed, in seconds."""
    return booking.prompt_tokens / view.terms.prefill_tokens_per_s


def prefill_pause_s(view: CellView, prompt_tokens: float) -> float:
    """Return the longest pause of streams by a prefill on a decode engine.

    The engine computes one chunk of the prefill between two tokens of its
    streams, so a piece of many tokens is delayed by many chunks.

    :returns: in seconds, between two pieces of a stream.
    """
    token_s = DECODE_PREFILL_SLOWDOWN / view.terms.prefill_tokens_per_s
    chunk_s = DECODE_PREFILL_CHUNK_TOKENS * token_s
    return min(chunk_s * view.terms.tokens_per_piece, prompt_tokens * token_s)


def latest_start(view: CellView, booking: Booking) -> float:
    """Return the latest start of a booking; after it, the work is refused.

    That is its arrival, if it would be late even on idle engines.
    """
    terms = view.terms
    patience_s = terms.max_wait_s_by_priority.get(booking.priority, 0.0)
    target_s = _target_s(view, booking) + patience_s
    target_at = min(booking.arrived_at + target_s, booking.deadline_at)
    start_at = target_at - first_token_s(view, booking)
    bound_s = patience_s or _target_s(view, booking)
    start_at = min(start_at, booking.arrived_at + bound_s)
    return max(booking.arrived_at, start_at)


def timely_start(view: CellView, booking: Booking) -> float:
    """Return the latest start at which a booking meets its target."""
    target_at = booking.arrived_at + _target_s(view, booking)
    return target_at - first_token_s(view, booking)


def _target_s(view: CellView, booking: Booking) -> float:
    """Return the target from arrival to first token, in seconds."""
    return booking.target_s or view.terms.first_token_s


def first_token_s(view: CellView, booking: Booking) -> float:
    """Return the time from the start to the first token, in seconds."""
    work_s = prefill_s(view, booking)
    gap_s = view.terms.tokens_per_piece / view.stream_tokens_per_s
    # The first decode step may have to wait for the one in progress.
    return work_s + view.transfer_s(booking) + 2 * gap_s


def expected_start(
    now: float, view: CellView, ordered: list[Booking]
) -> float:
    """Return when the last of some queued bookings will start.

    Simulates the queue: in order, each booking gets the next slot and the
    next prefill engine to become free.

    :param ordered: the queue, in the order in which it is served.
    :returns: infinity if there are no engines for it.
    """
    slots = _slot_times(now, view, ordered[-1])
    # When each engine can begin a prefill, and the seconds between two that
    # its rate limit asks for.
    engines = [
        (
            max(view.prefill_ready_at(now, state), rests_until),
            view.rate_limits.interval_s(state.backend),
        )
        for state in candidates.serving(now, view, Role.PREFILL)
        if (
            rests_until := view.rate_limits.rests_until(
                state.backend.backend_id, state.backend.incarnation
            )
        )
        <= now
        or not ordered[-1].may_read_there
    ]
    if not engines and ordered[-1].may_read_there:
        # Decode engines do the prefills, each one at a time.
        engines = [
            (now, 0.0) for _ in candidates.serving(now, view, Role.DECODE)
        ]
    if not slots or not engines:
        return math.inf
    heapq.heapify(slots)
    heapq.heapify(engines)
    starts_at = now
    terms = view.terms
    prefill_tokens_per_s = terms.prefill_tokens_per_s
    tokens_per_s = view.stream_tokens_per_s
    kv_bytes_per_token = terms.kv_bytes_per_token
    link_bytes_per_s = terms.link_bytes_per_s
    ratio = view.answer_ratio
    for booking in ordered:
        engine_at, interval_s = engines[0]
        starts_at = slots[0]
        if engine_at > starts_at:
            starts_at = engine_at
        prompt_tokens = booking.prompt_tokens
        done_at = starts_at + prompt_tokens / prefill_tokens_per_s
        transfer_s = prompt_tokens * kv_bytes_per_token / link_bytes_per_s
        # An engine computes one prompt while it transfers another one; the
        # slower of the two determines the throughput.
        next_at = max(done_at, starts_at + transfer_s, starts_at + interval_s)
        heapq.heapreplace(engines, (next_at, interval_s))
        if booking.expected_answer_ratio == ratio:
            answer = booking.expected_answer_tokens
        else:
            answer = view.answer_tokens(booking)
        decode_s = answer / tokens_per_s
        heapq.heapreplace(slots, done_at + transfer_s + decode_s)
    return starts_at


def _slot_times(now: float, view: CellView, booking: Booking) -> list[float]:
    """Return when each decode slot with room for a booking will be free."""
    times: list[float] = []
    limits = view.rate_limits
    most = view.most_in_memory(Role.DECODE, booking)
    # Mostly there is neither a limit nor a rest.
    allows_all = limits.allows_all
    for state in candidates.serving(now, view, Role.DECODE):
        slots = state.slots_open
        free = (slots if slots < most else most) - state.slots_used
        ends = state.decode_ends()
        # If more slots are used than are open, the first ones that end
        # free no slot.
        skipped = -free if free < 0 else 0
        overdue = bisect.bisect_left(ends, now, skipped)
        freed = [now] * (free + overdue if free > 0 else overdue - skipped)
        freed += ends[overdue:]
        is_limited = not allows_all and (
            limits.interval_s(state.backend)
            or limits.next_at(now, state.backend) > now
        )
        if is_limited:
            freed = [
                max(at, limits.next_at(now, state.backend, ahead))
                for ahead, at in enumerate(freed)
            ]
        times += freed
    return times


def limited_start(
    now: float, view: CellView, role: Role, booking: Booking, ahead: int
) -> float:
    """Return when rate limits allow a request to a backend server of a role.

    :param ahead: queued requests that go first.
    :returns: ``now`` if one of the backend servers has no limit and no rest.
    """
    serving = candidates.serving(now, view, role)
    others = [
        state
        for state in serving
        if state.backend.backend_id not in booking.exclude
    ]
    starts = []
    for state in others or serving:
        interval_s = view.rate_limits.interval_s(state.backend)
        next_at = view.rate_limits.next_at(now, state.backend)
        if not interval_s and next_at <= now:
            return now
        starts.append((next_at, interval_s))
    if not starts:
        return now
    heapq.heapify(starts)
    for _ in range(ahead):
        next_at, interval_s = starts[0]
        heapq.heapreplace(starts, (next_at + interval_s, interval_s))
    return starts[0][0]
