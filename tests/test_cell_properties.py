"""For any sequence of events, no cell overbooks slots or leaks state."""

import unittest

import hypothesis
from hypothesis import strategies

from dandeliongw.cell import cell_types
from dandeliongw.cell import cells
from tests import test_cells
from tests import test_scheduler

REQUESTS = tuple(f'r{number}' for number in range(6))
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ('book', 'move', 'prefilled', 'done', 'failed', 'renew', 'leave')
        ),
        strategies.sampled_from(REQUESTS),
        strategies.sampled_from(('urgent', 'patient')),
        strategies.floats(0.0, 1.5),
    ),
    max_size=60,
)
PREFILL = test_cells.make_backend('p1', 'prefill', slots=1)
DECODES = (
    test_cells.make_backend('d1', 'decode', slots=1),
    test_cells.make_backend('d2', 'decode', slots=2),
)
# Deterministic, so that every run in CI has the same result.
SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)


class Simulation:
    """A cell, and engines that confirm every second cancel."""

    def __init__(self) -> None:
        self.cell = test_scheduler.make_cell(PREFILL, *DECODES)
        self.now = 0.0
        self.cancels = 0
        self.answers_by_request: dict[str, list] = {}

    def send(self, message) -> None:
        self.take(test_cells.send(self.cell, message, now=self.now))

    def take(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, cells.CancelStream):
                self.cancel(effect)
            elif not isinstance(effect, cells.ListStreams):
                message = effect.message
                request_id = getattr(message, 'request_id', '')
                answers = self.answers_by_request.setdefault(request_id, [])
                answers.append(message)

    def cancel(self, effect: cells.CancelStream) -> None:
        self.cancels += 1
        if self.cancels % 2:
            return
        confirmed = cells.StreamCancelled(
            now=self.now,
            backend_id=effect.backend_id,
            stream_id=effect.stream_id,
            attempt_id=effect.attempt_id,
        )
        self.take(self.cell.handle(confirmed))

    def step(self, name: str, request_id: str, priority: str) -> None:
        ids = {
            'cell': self.cell.cell_id,
            'request_id': request_id,
            'attempt_id': 'a1',
        }
        book = test_cells.make_book(
            request_id, priority=priority, max_tokens=50
        )
        if name == 'book':
            self.send(book)
        elif name == 'move':
            stage = cell_types.Stage.DECODE
            move = test_cells.make_book(
                request_id, priority=priority, stage=stage, exclude=('d1',)
            )
            self.send(move)
        elif name == 'prefilled':
            self.send(cells.PrefillDone(**ids, tokens=1000, cached_tokens=0))
        elif name == 'renew':
            holding = cells.Holding(request_id=request_id, attempt_id='a1')
            self.send(cells.Progress(cell=ids['cell'], bookings=(holding,)))
        elif name == 'leave':
            decodes = DECODES[: 1 + (self.cancels % 2)]
            changed = cells.BackendsChanged(
                now=self.now, backends=(PREFILL, *decodes)
            )
            self.take(self.cell.handle(changed))
        else:
            outcome = cells.Outcome(name)
            self.send(cells.Release(**ids, outcome=outcome))

    def tick(self, after_s: float) -> None:
        self.now += after_s
        self.take(test_cells.tick(self.cell, self.now))


class CellPropertyTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(STEPS)
    def test_slots_are_never_booked_twice_and_all_are_freed(self, steps):
        simulation = Simulation()
        for name, request_id, priority, after_s in steps:
            simulation.step(name, request_id, priority)
            for state in simulation.cell.view.backends_by_id.values():
                if state.backend.role is cell_types.Role.DECODE:
                    self.assertLessEqual(state.slots_used, state.backend.slots)
            simulation.tick(after_s)
        for _ in range(80):
            simulation.tick(1.0)
        self.assertEqual({}, simulation.cell.bookings_by_key)
        self.assertEqual({}, simulation.cell.cancels.pending_by_key)
        self.assertEqual([], list(simulation.cell.view.queue))
        self.assertEqual({}, simulation.cell.leaving_by_id)
        for state in simulation.cell.view.backends_by_id.values():
            self.assertEqual(0, state.slots_used)
