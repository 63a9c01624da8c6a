"""The decisions of a cell, computed anew for each query.

A straightforward implementation without caches, kept queue orders or combined
loops, which :mod:`test_decisions` compares with the cell's own.
"""

import heapq
import math

from dandeliongw.cell import backend_state
from dandeliongw.cell import candidates
from dandeliongw.cell import cell_types
from dandeliongw.cell import cell_view
from dandeliongw.cell import cells
from dandeliongw.cell import declines
from dandeliongw.cell import forecast
from dandeliongw.cell import health
from dandeliongw.cell import pairs
from dandeliongw.cell import prediction
from dandeliongw.cell import scheduler


class View(cell_view.CellView, kw_only=True):
    """Looks at every engine and booking for each query."""

    def with_kv_room(self, now, states, booking):
        return [each for each in states if self._has_room(now, each, booking)]

    def has_kv_room(self, now, state, booking):
        return self._has_room(now, state, booking)

    def _has_room(self, now, state, booking):
        if now < state.full_until:
            return False
        if not state.bookings_by_key:
            return True
        tokens = booking.prompt_tokens + booking.max_tokens
        pace = round(self.stream_tokens_per_s, -1), round(self.answer_ratio, 1)
        cached = state.full_forecast
        if cached is not None and cached.covers(now, tokens, pace):
            return False
        least, most = self._kv_bounds(now, state, booking)
        if least > forecast.MAX_FILL:
            return False
        if most <= forecast.MAX_FILL:
            return True
        if self.kv_fraction(now, state, booking) <= forecast.MAX_FILL:
            return True
        state.full_forecast = backend_state.FullForecast(
            until=now + cell_view.FORECAST_TTL_S, tokens=tokens, pace=pace
        )
        return False

    def _kv_bounds(self, now, state, booking):
        capacity = self.terms.kv_tokens_by_role.get(state.backend.role)
        if capacity is None:
            return 0.0, 0.0
        prompts = booking.prompt_tokens
        answers = booking.max_tokens
        waits_s = 0.0
        for each in state.bookings_by_key.values():
            prompts += each.prompt_tokens
            answers += each.max_tokens
            if each.transfer_ends_at > now:
                waits_s += each.transfer_ends_at - now
        grown = answers + waits_s * self.stream_tokens_per_s
        return prompts / capacity, (prompts + grown) / capacity

    def kv_fraction(self, now, state, booking):
        capacity = self.terms.kv_tokens_by_role.get(state.backend.role)
        if capacity is None:
            return 0.0
        rate = self.stream_tokens_per_s
        growths = []
        for each in (*state.bookings_by_key.values(), booking):
            answer = self.answer_tokens(each)
            began_at = each.transfer_ends_at or now
            done = min(max(0.0, now - began_at) * rate, each.max_tokens)
            left = max(answer - done, cell_view.OVERRUN_FRACTION * answer)
            left = min(left, each.max_tokens - done)
            growths.append(
                forecast.Growth(
                    held=each.prompt_tokens + done,
                    ends_in_s=max(0.0, began_at - now) + left / rate,
                )
            )
        return forecast.peak_tokens(growths, rate) / capacity

    def answer_tokens(self, booking):
        typical = booking.max_tokens * self.answer_ratio
        if not booking.expected_tokens:
            return typical
        hint = min(booking.expected_tokens, booking.max_tokens)
        weight = cell_view.HINT_WEIGHT
        return typical ** (1.0 - weight) * hint**weight

    def candidates(self, role, exclude):
        return [
            state
            for backend_id, state in sorted(self.backends_by_id.items())
            if state.backend.role is role
            and backend_id not in exclude
            and backend_id not in self.switching_ids
        ]


class Finder(candidates.CandidateFinder):
    def usable(self, now, view, role, booking):
        found = candidates.candidates_for(view, role, booking)
        if all(state.health.is_ejected(now) for state in found):
            reachable = [
                each for each in found if not each.health.refuses_connections
            ]
            return reachable or found
        return [each for each in found if _may_get_work(now, each.health)]

    def find(self, now, view, role, booking):
        def has_room(state):
            allowed = view.rate_limits.allows(now, state.backend)
            return allowed and view.has_kv_room(now, state, booking)

        found = [
            candidates.BackendCandidate(
                state=state, free=self._open_slots(now, state)
            )
            for state in self.usable(now, view, role, booking)
            if has_room(state)
        ]
        found = [each for each in found if each.free > 0]
        if found:
            return _spare_awaited(view, role, booking, found)
        is_usable = candidates._is_last_resort
        if not candidates.is_mostly_closed(now, view, role):
            if role is not cell_types.Role.DECODE:
                return found
            is_usable = candidates._is_partly_working
        found = [
            candidates.BackendCandidate(
                state=state, free=state.slots_open - state.slots_used
            )
            for state in candidates.candidates_for(view, role, booking)
            if is_usable(state) and has_room(state)
        ]
        return [each for each in found if each.free > 0]


def _may_get_work(now, of):
    if of.is_ejected(now):
        return False
    pause_s = health.SLOW_START_PAUSE_S * (1.0 - of.open_fraction(now))
    return now >= of.last_booked_at + pause_s


def _spare_awaited(view, role, booking, found):
    if (
        role is not cell_types.Role.DECODE
        or booking.software_version is not None
    ):
        return found
    awaited = {each.software_version for each in view.queue} - {None}
    others = [
        each
        for each in found
        if each.state.backend.software_version not in awaited
    ]
    return others or found


class Pairs(pairs.PairChooser):
    def _prefill_wait_s(self, now, view, booking):
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
        queued_s = sum(
            prediction.prefill_s(view, each)
            for each in view.queue
            if each.stage is cell_types.Stage.PAIR
        )
        return free_at - now, queued_s / len(engines)


class Scheduler(scheduler.Scheduler):
    def __init__(self):
        super().__init__()
        self._finder = Finder(uses_health=True, uses_cap=True)
        self._pairs = Pairs(options=self._options, finder=self._finder)

    def dispatch(self, *, now, view):
        late = [each for each in view.queue if now > each.latest_start_at]
        if late:
            first = min(late, key=lambda each: order(now, view, each))
            return [(first, declines.waited(first))]
        waiting = list(view.queue)
        while waiting:
            first = min(waiting, key=lambda each: order(now, view, each))
            placed = self._place(now, view, first)
            if placed is not None:
                self.capacity_use.record_prefill(
                    view, first, placed.prefill_id
                )
                return [(first, placed)]
            version = first.software_version
            if version is None:
                break
            waiting = [
                each for each in waiting if each.software_version != version
            ]
        return []

    def _ahead_of(self, now, view, booking):
        mine = order(now, view, booking)
        ordered = [(order(now, view, each), each) for each in view.queue]
        ordered = [pair for pair in ordered if pair[0] <= mine]
        ordered.sort(key=lambda pair: pair[0])
        return [each for _, each in ordered]


def order(now, view, booking):
    """Return what the queue is sorted by."""
    if booking.stage is cell_types.Stage.DECODE:
        return scheduler.KV_MOVE_RANK, booking.arrived_at
    decode_s = view.answer_tokens(booking) / view.stream_tokens_per_s
    if booking.resent:
        hope = 1
    else:
        hope = 0 if now <= prediction.timely_start(view, booking) else 2
    return (
        view.terms.rank_by_priority.get(booking.priority, 1_000),
        hope,
        booking.arrived_at + scheduler.LENGTH_PENALTY * decode_s,
    )


def expected_start(now, view, ordered):
    """Simulate the queue; see ``prediction.expected_start``."""
    slots = _slot_times(now, view, ordered[-1])
    limits = view.rate_limits
    engines = []
    for state in candidates.serving(now, view, cell_types.Role.PREFILL):
        rests_until = limits.rests_until(
            state.backend.backend_id, state.backend.incarnation
        )
        if rests_until <= now or not ordered[-1].may_read_there:
            ready_at = max(view.prefill_ready_at(now, state), rests_until)
            engines.append((ready_at, limits.interval_s(state.backend)))
    if not engines and ordered[-1].may_read_there:
        serving = candidates.serving(now, view, cell_types.Role.DECODE)
        engines = [(now, 0.0) for _ in serving]
    if not slots or not engines:
        return math.inf
    heapq.heapify(slots)
    heapq.heapify(engines)
    starts_at = now
    for booking in ordered:
        engine_at, interval_s = engines[0]
        starts_at = max(heapq.heappop(slots), engine_at)
        done_at = starts_at + prediction.prefill_s(view, booking)
        transfer_s = view.transfer_s(booking)
        paced_at = max(done_at, starts_at + transfer_s)
        next_at = max(paced_at, starts_at + interval_s)
        heapq.heapreplace(engines, (next_at, interval_s))
        decode_s = view.answer_tokens(booking) / view.stream_tokens_per_s
        heapq.heappush(slots, done_at + transfer_s + decode_s)
    return starts_at


def _slot_times(now, view, booking):
    times = []
    limits = view.rate_limits
    for state in candidates.serving(now, view, cell_types.Role.DECODE):
        capacity = view.terms.kv_tokens_by_role.get(state.backend.role)
        slots = state.slots_open
        if capacity is not None:
            answer = view.answer_tokens(booking)
            each = max(1.0, booking.prompt_tokens + answer / 2)
            slots = min(slots, max(1, int(capacity / each)))
        free = slots - state.slots_used
        held = state.bookings_by_key.values()
        ends = sorted(max(now, each.decode_ends_at) for each in held)
        freed = [now] * max(0, free) + ends[max(0, -free) :]
        is_limited = (
            limits.interval_s(state.backend)
            or limits.next_at(now, state.backend) > now
        )
        if is_limited:
            freed = [
                max(at, limits.next_at(now, state.backend, ahead))
                for ahead, at in enumerate(freed)
            ]
        times.extend(freed)
    return times


def make_cell(terms, **changes) -> cells.Cell:
    """Return a cell that decides by this module."""
    cell = cells.Cell(document_part=terms, policy=Scheduler(), **changes)
    cell.view = View(terms=terms, rate_limits=cell.view.rate_limits)
    # The parts that hold the view of the cell.
    cell._faults._view = cell.view
    cell._rate_limit_news._view = cell.view
    return cell
