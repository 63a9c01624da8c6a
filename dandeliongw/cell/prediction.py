"""When work would start, and until when it may."""

import heapq
import math

from . import rooms
from .cell_view import CellView
from .vocabulary import Booking
from .vocabulary import Role

#: Engine seconds of a decode engine for each second that a reader needs for
#: the same prompt: it reads at half of a reader's pace.
READ_THERE_SLOWER = 2.0
#: Tokens of a prompt that a decode engine reads between two tokens of its
#: streams: a quarter of the 2,048 of a reader, by the engines' description.
READ_PART_TOKENS = 512
#: Of a priority that the document doesn't know.
LAST_RANK = 1_000


def rank_of(view: CellView, booking: Booking) -> int:
    """Return the rank of work; lower goes first."""
    return view.terms.rank_by_priority.get(booking.priority, LAST_RANK)


def prefill_s(view: CellView, booking: Booking) -> float:
    """Return how long a prompt takes on an engine of usual speed."""
    return booking.prompt_tokens / view.terms.prefill_tokens_per_s


def reading_pause_s(view: CellView, prompt_tokens: float) -> float:
    """Return the longest pause in streams beside a prompt that is read there.

    A decode engine reads between the tokens of its streams, so a piece of
    many tokens waits for many parts of the prompt.
    """
    read_s = READ_THERE_SLOWER / view.terms.prefill_tokens_per_s
    part_s = READ_PART_TOKENS * read_s
    return min(part_s * view.terms.tokens_per_piece, prompt_tokens * read_s)


def latest_start(view: CellView, booking: Booking) -> float:
    """Return until when work may start and isn't refused after all.

    Work that would miss it on idle engines may start only at once.
    """
    terms = view.terms
    patience_s = terms.max_wait_s_by_priority.get(booking.priority, 0.0)
    target_s = terms.first_token_s + patience_s
    target_at = min(booking.arrived_at + target_s, booking.deadline_at)
    start_at = target_at - first_token_s(view, booking)
    bound_s = patience_s or terms.first_token_s
    start_at = min(start_at, booking.arrived_at + bound_s)
    return max(booking.arrived_at, start_at)


def timely_start(view: CellView, booking: Booking) -> float:
    """Return until when work may start and still meet its target."""
    target_at = booking.arrived_at + view.terms.first_token_s
    return target_at - first_token_s(view, booking)


def first_token_s(view: CellView, booking: Booking) -> float:
    """Return how long from the start to the first token."""
    work_s = prefill_s(view, booking)
    gap_s = view.terms.tokens_per_piece / view.stream_tokens_per_s
    # The first step may have to wait for the end of the one that runs.
    return work_s + view.transfer_s(booking) + 2 * gap_s


def expected_start(
    now: float, view: CellView, ordered: list[Booking]
) -> float:
    """Return when the last of some queued work will start.

    Goes through the work in order, giving each the next slot and the next
    prefill engine to be free.
    """
    slots = _slot_times(now, view, ordered[-1])
    engines = [
        state.prefill_free_at(now)
        for state in rooms.serving(now, view, Role.PREFILL)
    ]
    if not engines and ordered[-1].may_read_there:
        # Decode engines read then, each one prompt at a time.
        engines = [now for _ in rooms.serving(now, view, Role.DECODE)]
    if not slots or not engines:
        return math.inf
    heapq.heapify(slots)
    heapq.heapify(engines)
    starts_at = now
    for booking in ordered:
        starts_at = max(heapq.heappop(slots), engines[0])
        done_at = starts_at + prefill_s(view, booking)
        moved_at = done_at + view.transfer_s(booking)
        # Prefill and link of an engine work at the same time, each on
        # another prompt; the slower of the two sets the pace.
        paced_at = max(done_at, starts_at + view.transfer_s(booking))
        heapq.heapreplace(engines, paced_at)
        heapq.heappush(slots, moved_at + view.decode_s(booking))
    return starts_at


def _slot_times(now: float, view: CellView, booking: Booking) -> list[float]:
    """Return when each decode slot is free that such work fits in."""
    times = []
    for state in rooms.serving(now, view, Role.DECODE):
        free = view.slots_for(state, booking) - state.slots_used
        times.extend([now] * max(0, free))
        ends = sorted(
            max(now, booking.decode_ends_at)
            for booking in state.bookings_by_key.values()
        )
        # Above the cap the first to end give no slot back.
        times.extend(ends[max(0, -free) :])
    return times
