"""Checks for room in an engine's KV cache, and their cost in a burst."""

import heapq
import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st
import msgspec

from dandeliongw.cell import backend_state
from dandeliongw.cell import cell_types
from dandeliongw.cell import cell_view
from dandeliongw.cell import cells
from dandeliongw.cell import forecast
from dandeliongw.cell import pairs
from dandeliongw.cell import scheduler
from dandeliongw.coordination import parts
from tests import test_cells
from tests import test_scheduler

CAPACITY = 27_389
TERMS = msgspec.structs.replace(
    test_scheduler.TERMS,
    prefill_tokens_per_s=33_333.0,
    decode_tokens_per_s=300.0,
    kv_tokens_by_role={cell_types.Role.DECODE: CAPACITY},
    max_wait_s_by_priority={'urgent': 3.0},
)
tokens = st.integers(min_value=1, max_value=6_000)
seconds = st.floats(min_value=0.0, max_value=20.0)


def make_booking(number, prompt, answer, transfer_ends_at):
    return cell_types.Booking(
        request_id=f'r{number}',
        attempt_id='a1',
        entry='gw-1',
        account='studio-1',
        priority='urgent',
        prompt_tokens=prompt,
        max_tokens=answer,
        prefix=(),
        stage=cell_types.Stage.PAIR,
        exclude=(),
        arrived_at=0.0,
        deadline_at=30.0,
        renewed_at=0.0,
        transfer_ends_at=transfer_ends_at,
    )


def make_view():
    view = cell_view.CellView(terms=TERMS)
    backend = test_cells.make_backend('d1', 'decode', slots=12)
    view.backends_by_id['d1'] = backend_state.BackendState(backend=backend)
    return view


class RoomTest(unittest.TestCase):
    @hypothesis.given(
        held=st.lists(st.tuples(tokens, tokens, seconds), max_size=12),
        wanted=st.tuples(tokens, tokens),
        now=seconds,
    )
    def test_the_bounds_agree_with_the_forecast(self, held, wanted, now):
        view = make_view()
        state = view.backends_by_id['d1']
        for number, (prompt, answer, ends_at) in enumerate(held):
            booking = make_booking(number, prompt, answer, ends_at)
            state.bookings_by_key[booking.key] = booking
        booking = make_booking(99, *wanted, 0.0)
        part = view.kv_fraction(now, state, booking)
        least, most = view._kv_bounds(now, state, booking)
        self.assertLessEqual(least, part + 1e-9)
        self.assertGreaterEqual(most, part - 1e-9)
        expected = not held or part <= forecast.MAX_FILL
        if abs(part - forecast.MAX_FILL) > 1e-9:
            self.assertEqual(expected, view.has_kv_room(now, state, booking))

    def setUp(self):
        self.view = make_view()
        self.state = self.view.backends_by_id['d1']
        # So full that the bounds aren't decisive.
        for number in range(7):
            booking = make_booking(number, 3_000, 300, 5.0)
            self.state.bookings_by_key[booking.key] = booking
        self.forecasts = self.enterContext(
            mock.patch.object(
                cell_view.CellView,
                'kv_fraction',
                autospec=True,
                side_effect=cell_view.CellView.kv_fraction,
            )
        )

    def has_room(self, now, prompt=3_000):
        booking = make_booking(99, prompt, 300, 0.0)
        return self.view.has_kv_room(now, self.state, booking)

    def test_a_forecast_without_room_is_cached(self):
        self.assertFalse(self.has_room(6.0))
        self.assertFalse(self.has_room(6.0 + cell_view.FORECAST_TTL_S / 2))
        self.assertEqual(1, self.forecasts.call_count)
        self.has_room(6.0 + cell_view.FORECAST_TTL_S)
        self.assertEqual(2, self.forecasts.call_count)

    def test_another_rate_needs_another_forecast(self):
        self.assertFalse(self.has_room(6.0))
        self.view.measured_tokens_per_s = 100.0
        self.has_room(6.0)
        self.assertEqual(2, self.forecasts.call_count)

    def test_smaller_work_needs_another_forecast(self):
        self.assertFalse(self.has_room(6.0))
        self.assertTrue(self.has_room(6.0, prompt=10))

    def test_the_end_of_work_discards_the_forecast(self):
        self.assertFalse(self.has_room(6.0))
        self.state.bookings_by_key.popitem()
        self.state.clear_forecast()
        self.assertTrue(self.has_room(6.0))


class BurstTest(unittest.TestCase):
    """The owner must keep up with a burst of 115 requests a second.

    On 59 engines, queued work is tried again at each event, on every engine.
    With a forecast for each engine each time, an owner with half a core would
    need more CPU time than it has, and entries would get no answer.
    """

    RATE = 115.0
    SECONDS = 5.0

    def setUp(self):
        engines = [
            *(
                test_cells.make_backend(f'p{number}', 'prefill', slots=12)
                for number in range(20)
            ),
            *(
                test_cells.make_backend(f'd{number}', 'decode', slots=12)
                for number in range(39)
            ),
        ]
        self.cell = test_scheduler.make_cell(*engines)
        self.cell.handle(cells.TermsChanged(now=0.0, terms=TERMS))
        self.random = random.Random(1)
        self.events = []
        self.booked = 0
        self.handled = 0
        #: Events that freed capacity: a prefill or an answer ended.
        self.freed = 0

    def plan(self, at, message):
        heapq.heappush(self.events, (at, len(self.events), id(message)))
        self.messages[id(message)] = message

    def run_load(self):
        self.messages = {}
        self.numbers = iter(range(10**6))
        self.arrive(0.0)
        now = 0.0
        while self.events and now < self.SECONDS:
            now, _, key = heapq.heappop(self.events)
            message = self.messages.pop(key)
            self.handled += 1
            self.freed += not isinstance(message, cells.Book)
            for effect in test_cells.send(self.cell, message, now=now):
                self.follow(now, effect.message)
            if isinstance(message, cells.Book):
                self.arrive(now + self.random.expovariate(self.RATE))

    def arrive(self, at):
        book = test_cells.make_book(
            f'r{next(self.numbers)}',
            prompt_tokens=3_200,
            max_tokens=70,
            deadline_s=14.0,
        )
        self.plan(at, book)

    def follow(self, now, message):
        if not isinstance(message, cells.Booked):
            return
        self.booked += 1
        ids = {
            'cell': self.cell.cell_id,
            'request_id': message.request_id,
            'attempt_id': 'a1',
        }
        done = cells.PrefillDone(**ids, tokens=3_200, cached_tokens=0)
        self.plan(now + 0.12, done)
        release = cells.Release(**ids, outcome=cells.Outcome.DONE)
        self.plan(now + 2.7, release)

    def count(self, owner, name):
        """Run the load and return how often a method was called."""
        method = getattr(owner, name)
        with mock.patch.object(
            owner, name, autospec=True, side_effect=method
        ) as counted:
            self.run_load()
        self.assertGreater(self.booked, 300)
        return counted.call_count

    def test_few_forecasts_are_made_for_each_event(self):
        forecasts = self.count(cell_view.CellView, 'kv_fraction')
        # One for each engine each time would be many times as many.
        self.assertLess(forecasts / self.handled, 4.0)

    def test_a_full_cell_is_not_dispatched_at_each_event(self):
        """Events that free no capacity must not start a dispatch.

        In a burst of 160 requests a second, more than the engines can serve,
        there are 345 events a second, and most free no capacity. With a
        dispatch after each, the owner would be busy for 20 s and lose its
        lease.
        """
        self.RATE = 160.0
        dispatches = self.count(scheduler.Scheduler, 'dispatch')
        # Each placement is followed by one more dispatch.
        due = self.freed + self.booked + self.SECONDS / cells.DISPATCH_PAUSE_S
        self.assertLess(dispatches, due)

    def test_prefill_engines_ready_at_one_time_are_tried_once(self):
        """Not every pair of 20 prefill and 39 decode engines is compared."""
        choices = self.count(pairs.PairChooser, '_choose_decode')
        self.assertLess(choices / self.booked, 4.0)


class TickTest(unittest.TestCase):
    def test_a_tick_of_an_idle_cell_checks_no_engine(self):
        cell = test_scheduler.make_cell(
            test_cells.make_backend('d1', 'decode')
        )
        with mock.patch.object(cell_view.CellView, 'with_kv_room') as checked:
            cell.handle(parts.Ticked(now=1.0, entropy=0))
        checked.assert_not_called()
