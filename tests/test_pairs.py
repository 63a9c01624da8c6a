"""The choice of a prefill and a decode engine for a prompt."""

import unittest

import hypothesis
from hypothesis import strategies as st

from dandeliongw.cell import backend_state
from dandeliongw.cell import candidates
from dandeliongw.cell import cell_types
from dandeliongw.cell import cell_view
from dandeliongw.cell import options
from dandeliongw.cell import pairs
from tests import test_cells
from tests import test_kv_room

FINDER = candidates.CandidateFinder(uses_health=True, uses_cap=True)


class PairTest(unittest.TestCase):
    """The chosen pair is the best one of all pairs."""

    @hypothesis.given(
        sources=st.lists(
            st.tuples(
                st.sampled_from((1.0, 1.03, 3.0)),
                st.sampled_from((0.0, 0.5, 1.0, 1.004, 1.3)),
            ),
            min_size=1,
            max_size=6,
        ),
        links=st.lists(
            st.sampled_from((0.0, 0.9, 1.1, 1.104, 1.6)),
            min_size=1,
            max_size=5,
        ),
    )
    def test_no_better_pair_is_skipped(self, sources, links):
        view = cell_view.CellView(terms=test_kv_room.TERMS)
        for number, (slowness, link) in enumerate(sources):
            state = self.add(view, f'p{number}', 'prefill')
            test_cells.occupy_link(state, link)
            state.slowness = slowness
        for number, link in enumerate(links):
            state = self.add(view, f'd{number}', 'decode')
            test_cells.occupy_link(state, link)
        booking = test_kv_room.make_booking(1, 3_200, 70, 0.0)
        chooser = pairs.PairChooser(options=options.Options(), finder=FINDER)
        found_candidates = FINDER.find(
            1.0, view, cell_types.Role.DECODE, booking
        )
        found = [
            (cost, source.number, source.state.backend.backend_id, decode)
            for source in chooser._sources(1.0, view, booking)
            for cost, decode in [
                chooser._choose_decode(view, source, found_candidates)
                or (None, None)
            ]
            if cost is not None
        ]
        placed = chooser._choose_pair(1.0, view, booking)
        if not found:
            self.assertIsNone(placed)
            return
        _, _, prefill_id, decode = min(found, key=lambda each: each[:2])
        self.assertEqual(prefill_id, placed.prefill_id)
        self.assertEqual(decode.backend.backend_id, placed.decode_id)

    def add(self, view, backend_id, role):
        backend = test_cells.make_backend(backend_id, role, slots=12)
        state = backend_state.BackendState(backend=backend)
        view.backends_by_id[backend_id] = state
        return state
