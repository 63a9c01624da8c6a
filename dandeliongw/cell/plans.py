"""Plans when the prefill, the transfer and the answer of each booking end.

Prefills of one engine, and transfers over one link, go one after the other. A
plan is made from the work that is held when a booking is placed. If some of
that ends before its plan says, or the terms change, the rest is planned anew:
otherwise predictions of work that never ran would outlive it in the plans of
what was placed behind it.

Times are monotonic seconds of the owner's instance.
"""

from .backend_state import BackendState
from .cell_types import Booking
from .cell_types import CellTerms
from .cell_types import Stage
from .cell_view import CellView

#: Weight of a new measurement of an engine's slowness.
SMOOTHING = 0.1
#: Cap of one measurement of slowness: a prefill that hung predicts nothing
#: about the next one beyond this.
MAX_SLOWNESS = 10.0


def plan(view: CellView, booking: Booking) -> None:
    """Set the predicted times of a booking that is about to be placed."""
    state = view.backends_by_id.get(booking.prefill_id)
    ends_at = booking.start_at
    if state is not None and not booking.prefill_done:
        starts_at = max(ends_at, state.prefill_free_at(ends_at))
        booking.prefill_work_s = view.prefill_work_s(state, booking)
        ends_at = starts_at + booking.prefill_work_s
        booking.prefill_ends_at = ends_at
    if booking.stage is not Stage.PLAIN:
        _plan_transfer(view, booking, ends_at)


def record_prefill(
    view: CellView,
    now: float,
    state: BackendState,
    booking: Booking,
    computed: int,
) -> None:
    """Update the predictions after a prefill has ended.

    :param state: its engine, from which ``booking`` isn't removed yet.
    :param computed: tokens that were not cached.
    """
    began_at = max(booking.start_at or now, state.last_prefill_at)
    expected_s = computed / view.terms.prefill_tokens_per_s
    if expected_s > 0.0 and now > began_at:
        measured = min((now - began_at) / expected_s, MAX_SLOWNESS)
        state.slowness += SMOOTHING * (measured - state.slowness)
    state.last_prefill_at = now
    state.add_blocks(booking.prefix)
    at = now
    for each in state.bookings_by_key.values():
        if not each.prefill_done and each is not booking:
            at = max(at, each.start_at or at) + each.prefill_work_s
            each.prefill_ends_at = at
    # The links are booked at placement already; only a late prefill occupies
    # them for longer.
    if now + view.transfer_s(booking) > booking.transfer_ends_at:
        _plan_transfer(view, booking, now)
        for end in _ends(view, booking):
            end.clear_plans()


def is_pending(now: float, booking: Booking) -> bool:
    """Return whether engines or links are predicted to be busy with it yet.

    What is placed behind such a booking waits for it.
    """
    is_reading = not booking.prefill_done and booking.prefill_ends_at > now
    return is_reading or booking.transfer_ends_at > now


def plan_anew(view: CellView, now: float) -> None:
    """Plan anew what is not predicted to have begun."""
    for state in view.backends_by_id.values():
        _plan_prefills(now, state)
    pending = {
        booking.key: booking
        for state in view.backends_by_id.values()
        for booking in state.transfers_by_key.values()
        if booking.transfer_ends_at > now
    }
    free_at_by_id: dict[str, float] = {}
    for booking in sorted(
        pending.values(), key=lambda each: each.transfer_starts_at
    ):
        starts_at = booking.transfer_starts_at
        ids = booking.prefill_id, booking.decode_id
        if starts_at > now:
            ready_at = booking.start_at
            if not booking.prefill_done:
                ready_at = max(ready_at, booking.prefill_ends_at)
            links = [free_at_by_id.get(each, now) for each in ids]
            starts_at = max(ready_at, *links)
        _set_transfer(view, booking, starts_at)
        for each in ids:
            free_at_by_id[each] = booking.transfer_ends_at
    for state in view.backends_by_id.values():
        state.clear_plans()


def change_terms(view: CellView, now: float, terms: CellTerms) -> None:
    """Replace the terms, and plan the held work by the new ones."""
    if terms == view.terms:
        return
    slower = view.terms.prefill_tokens_per_s / terms.prefill_tokens_per_s
    view.terms = terms
    held = {
        booking.key: booking
        for state in view.backends_by_id.values()
        for booking in state.bookings_by_key.values()
    }
    for booking in held.values():
        began_at = booking.prefill_ends_at - booking.prefill_work_s
        booking.prefill_work_s *= slower
        booking.prefill_ends_at = began_at + booking.prefill_work_s
        if booking.transfer_ends_at:
            _set_answer(view, booking)
    plan_anew(view, now)


def _plan_prefills(now: float, state: BackendState) -> None:
    """Plan the prefills of an engine one after the other."""
    free_at = now
    for booking in state.bookings_by_key.values():
        is_here = booking.prefill_id == state.backend.backend_id
        if booking.prefill_done or not booking.prefill_work_s or not is_here:
            continue
        if booking.prefill_ends_at - booking.prefill_work_s > now:
            starts_at = max(free_at, booking.start_at)
            booking.prefill_ends_at = starts_at + booking.prefill_work_s
        free_at = max(free_at, booking.prefill_ends_at)


def _plan_transfer(
    view: CellView, booking: Booking, prefilled_at: float
) -> None:
    links = [state.link_free_at for state in _ends(view, booking)]
    _set_transfer(view, booking, max([prefilled_at, *links]))


def _set_transfer(view: CellView, booking: Booking, starts_at: float) -> None:
    booking.transfer_starts_at = starts_at
    booking.transfer_ends_at = starts_at + view.transfer_s(booking)
    _set_answer(view, booking)


def _set_answer(view: CellView, booking: Booking) -> None:
    decode_s = view.decode_s(booking)
    booking.decode_ends_at = booking.transfer_ends_at + decode_s


def _ends(view: CellView, booking: Booking) -> list[BackendState]:
    """Return the engines at both ends of a booking's transfer."""
    return [
        view.backends_by_id[each]
        for each in (booking.prefill_id, booking.decode_id)
        if each in view.backends_by_id
    ]
