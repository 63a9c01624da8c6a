"""Whatever has ended, a cell plans like a new one that knows its engines."""

import copy
import unittest

import hypothesis
from hypothesis import strategies as st
import msgspec

from dandeliongw.cell import cell_types
from dandeliongw.cell import cells
from dandeliongw.cell import fault_recorder
from dandeliongw.cell import health
from dandeliongw.cell import options
from dandeliongw.cell import scheduler
from tests import test_cells
from tests import test_held_work

TERMS = test_held_work.TERMS
REQUESTS = tuple(f'r{number}' for number in range(6))
ENGINES = (
    *test_held_work.PREFILLS[:2],
    *test_held_work.DECODES[:3],
)
ALL_TERMS = (
    TERMS,
    test_held_work.SLOW_LINK,
    msgspec.structs.replace(TERMS, kv_bytes_per_token=2.0**53),
    msgspec.structs.replace(TERMS, prefill_tokens_per_s=100.0),
    msgspec.structs.replace(TERMS, decode_tokens_per_s=0.5),
    msgspec.structs.replace(TERMS, kv_tokens_by_role={}),
)
PREFIXES = ((), ('a',), ('a', 'b'), ('c',))
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                'book',
                'book',
                'move',
                'prefilled',
                'done',
                'failed',
                'cancelled',
                'taken_over',
                'renew',
                'terms',
                'backends',
                'report',
            )
        ),
        st.sampled_from(REQUESTS),
        st.integers(0, 2**16),
        st.floats(0.0, 1.2),
    ),
    max_size=40,
)
OPTIONS = (options.Options(), test_held_work.ANY_SIZE)
#: How the rest ends: entries release it, or are gone.
ENDINGS = st.sampled_from(('failed', 'cancelled', 'gone'))
#: Seconds after which no ejection, slow start or pause of an engine goes on.
SETTLED_S = (
    max(fault_recorder.REFUSED_PAUSE_S, cells.BOOKING_LEASE_S)
    + health.MAX_EJECTION_S
    + health.SLOW_START_S
)
# Deterministic, so that every run in CI has the same result.
SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)


class History:
    """A cell on which random work is booked and ends."""

    def __init__(self, *, confirms_cancels, used):
        self.confirms_cancels = confirms_cancels
        self.options = used
        self.cell = make_cell(used)
        self.now = 0.0
        self.serials = dict.fromkeys(REQUESTS, 0)
        #: Blocks of prefills that have ended, by the engine's start.
        self.read_by_start: dict[tuple[str, int], set[str]] = {}
        self.incarnations = dict.fromkeys(
            (each.backend_id for each in ENGINES), 1
        )

    def send(self, message):
        self.take(test_cells.send(self.cell, message, now=self.now))

    def take(self, effects):
        for effect in effects:
            if self.confirms_cancels and isinstance(
                effect, cells.CancelStream
            ):
                confirmed = cells.StreamCancelled(
                    now=self.now,
                    backend_id=effect.backend_id,
                    stream_id=effect.stream_id,
                    attempt_id=effect.attempt_id,
                )
                self.take(self.cell.handle(confirmed))

    def step(self, name, request_id, draw):
        ids = {
            'cell': self.cell.cell_id,
            'request_id': request_id,
            'attempt_id': f'a{self.serials[request_id]}',
        }
        match name:
            case 'book':
                self.serials[request_id] += 1
                self.send(self.make_book(request_id, draw))
            case 'move':
                stage = cell_types.Stage.DECODE
                excluded = ENGINES[2 + draw % 3].backend_id
                book = self.make_book(request_id, draw)
                self.send(
                    msgspec.structs.replace(
                        book, stage=stage, exclude=(excluded,)
                    )
                )
            case 'prefilled':
                self.end_prefill(ids)
            case 'renew':
                holding = cells.Holding(
                    request_id=request_id, attempt_id=ids['attempt_id']
                )
                progress = cells.Progress(
                    cell=ids['cell'], bookings=(holding,)
                )
                self.send(progress)
            case 'terms':
                self.change_terms(ALL_TERMS[draw % len(ALL_TERMS)])
            case 'backends':
                self.change_backends(draw)
            case 'report':
                self.report_load(draw)
            case _:
                fault = ENGINES[draw % len(ENGINES)].backend_id
                release = cells.Release(
                    **ids,
                    outcome=cells.Outcome(name),
                    backend_fault=fault if name == 'failed' else '',
                    answer_pieces=draw % 20,
                )
                self.send(release)

    def end_prefill(self, ids):
        key = ids['request_id'], ids['attempt_id']
        booking = self.cell.bookings_by_key.get(key)
        if booking is not None and booking.prefill_id:
            incarnation = self.incarnations[booking.prefill_id]
            start = booking.prefill_id, incarnation
            self.read_by_start.setdefault(start, set()).update(booking.prefix)
        done = cells.PrefillDone(**ids, tokens=3_000, cached_tokens=0)
        self.send(done)

    def make_book(self, request_id, draw):
        return test_cells.make_book(
            request_id,
            attempt_id=f'a{self.serials[request_id]}',
            prompt_tokens=(200, 3_000, 30_000, 4_000_000)[draw % 4],
            max_tokens=70,
            prefix=PREFIXES[draw // 4 % 4],
            may_read_there=bool(draw // 16 % 2),
            deadline_s=14.0,
        )

    def change_terms(self, terms):
        self.cell.handle(cells.TermsChanged(now=self.now, terms=terms))

    def change_backends(self, draw):
        """Let an engine restart or go, or some come back."""
        changed = ENGINES[draw // 2 % len(ENGINES)].backend_id
        if draw % 2:
            self.incarnations[changed] += 1
        self.set_backends(without='' if draw % 2 else changed)

    def report_load(self, draw):
        reported = cells.LoadReported(
            now=self.now,
            backend_id=ENGINES[draw % len(ENGINES)].backend_id,
            running=0,
            waiting=0,
            queued_tokens=0,
            slots_used=draw // 8 % 64,
            kv_bytes=0,
        )
        self.cell.handle(reported)

    def set_backends(self, without=''):
        backends = tuple(
            msgspec.structs.replace(
                each, incarnation=self.incarnations[each.backend_id]
            )
            for each in ENGINES
            if each.backend_id != without
        )
        changed = cells.BackendsChanged(now=self.now, backends=backends)
        self.take(self.cell.handle(changed))

    def tick(self, after_s):
        self.now += after_s
        self.take(test_cells.tick(self.cell, self.now))

    def end_all(self, ending):
        """End all work, and wait until nothing is kept from new work."""
        if ending != 'gone':
            for key in list(self.cell.bookings_by_key):
                release = cells.Release(
                    cell=self.cell.cell_id,
                    request_id=key[0],
                    attempt_id=key[1],
                    outcome=cells.Outcome(ending),
                )
                self.send(release)
        self.set_backends()
        self.change_terms(TERMS)
        for _ in range(int(SETTLED_S) + 1):
            self.tick(1.0)

    def new_cell(self):
        """Return a new cell with what this one has learnt by measuring."""
        cell = make_cell(self.options)
        backends = tuple(
            state.backend for state in self.cell.view.backends_by_id.values()
        )
        cell.handle(cells.BackendsChanged(now=self.now, backends=backends))
        cell.policy = copy.deepcopy(self.cell.policy)
        for name in ('answer_ratio', 'answer_count', 'measured_tokens_per_s'):
            setattr(cell.view, name, getattr(self.cell.view, name))
        for backend_id, state in self.cell.view.backends_by_id.items():
            new = cell.view.backends_by_id[backend_id]
            for name in ('slowness', 'last_prefill_at'):
                setattr(new, name, getattr(state, name))
            for name in ('batch', 'health', 'blocks'):
                setattr(new, name, copy.deepcopy(getattr(state, name)))
        return cell


def make_cell(used):
    return test_cells.make_cell(
        *ENGINES,
        document_part=TERMS,
        policy=scheduler.Scheduler(options=used),
    )


class HeldWorkPropertyTest(unittest.TestCase):
    """Guards against predictions that outlive the work they were made of."""

    @SETTINGS
    @hypothesis.given(
        steps=STEPS,
        ending=ENDINGS,
        confirms=st.booleans(),
        used=st.sampled_from(OPTIONS),
    )
    def test_a_cell_without_work_plans_like_a_new_one(
        self, steps, ending, confirms, used
    ):
        history = History(confirms_cancels=confirms, used=used)
        for name, request_id, draw, after_s in steps:
            history.step(name, request_id, draw)
            self.check_links(history)
            history.tick(after_s)
        history.end_all(ending)
        self.assertEqual({}, history.cell.bookings_by_key)
        for state in history.cell.view.backends_by_id.values():
            start = state.backend.backend_id, state.backend.incarnation
            read = history.read_by_start.get(start, set())
            self.assertLessEqual(set(state.blocks), read)
            self.assertEqual(0, state.slots_used)
        new = history.new_cell()
        for number in range(24):
            now = history.now + 0.03 * number
            book = test_cells.make_book(
                f'n{number}',
                prompt_tokens=(3_000, 12_000)[number % 2],
                max_tokens=70,
                prefix=PREFIXES[number % 4],
                may_read_there=number % 3 > 0,
            )
            self.assertEqual(
                *(
                    [each.message for each in test_cells.send(cell, book, now)]
                    for cell in (new, history.cell)
                )
            )

    def check_links(self, history):
        """Assert that links are booked for no longer than held work takes."""
        view = history.cell.view
        held_s = sum(
            booking.prefill_work_s + 2 * view.transfer_s(booking)
            for booking in history.cell.bookings_by_key.values()
        )
        for state in view.backends_by_id.values():
            longest = history.now + held_s + 1e-6
            self.assertLessEqual(state.link_free_at, longest)
            self.assertLessEqual(state.prefill_free_at(history.now), longest)
