"""The measured rate and length of answers."""

import unittest

from dandeliongw.cell import backend_state
from dandeliongw.cell import cell_types
from dandeliongw.cell import cell_view
from tests import test_cells


class MeasuredRateTest(unittest.TestCase):
    """Rate and length of answers must come from their pieces.

    The engines' real rate is half of the document's. If lengths were computed
    from durations and the document's rate, answers would count for twice
    their tokens and growth, and work would wait for seconds although engines
    are half empty.
    """

    def setUp(self):
        terms = cell_types.CellTerms(
            first_token_s=0.9,
            token_gap_s=0.3,
            timeout_s=14.0,
            decode_tokens_per_s=320.0,
            tokens_per_piece=8,
            kv_tokens_by_role={'decode': 40_000},
        )
        self.view = cell_view.CellView(terms=terms)
        backend = test_cells.make_backend('d1', 'decode', slots=64)
        self.state = backend_state.BackendState(backend=backend)
        self.view.backends_by_id['d1'] = self.state

    def booking(self, request_id='r'):
        return cell_types.Booking(
            request_id=request_id,
            attempt_id='a',
            entry='gw-1',
            account='x',
            priority='y',
            stage=cell_types.Stage.PAIR,
            prompt_tokens=3000,
            max_tokens=1280,
            prefix=(),
            exclude=(),
            arrived_at=0.0,
            deadline_at=14.0,
            renewed_at=0.0,
        )

    def learn(self, answers=20):
        for _ in range(answers):
            self.view.record_answer(
                3.2, self.booking(), pieces=64, piece_gap_s=0.05
            )

    def fill(self):
        """Book streams until the KV cache is full, and return their number."""
        for number in range(64):
            booking = self.booking(f'r{number}')
            if not self.view.has_kv_room(0.0, self.state, booking):
                return number
            self.state.bookings_by_key[booking.key] = booking
        return 64

    def test_rate_and_length_come_from_the_pieces(self):
        self.learn()
        self.assertAlmostEqual(160.0, self.view.stream_tokens_per_s)
        self.assertAlmostEqual(512, self.view.answer_tokens(self.booking()))
        self.assertAlmostEqual(3.2, self.view.decode_s(self.booking()))

    def test_the_first_answer_counts_at_once(self):
        self.learn(answers=1)
        self.assertAlmostEqual(160.0, self.view.stream_tokens_per_s)

    def test_more_streams_fit_than_by_their_time_alone(self):
        before = self.fill()
        self.state.bookings_by_key.clear()
        self.learn()
        self.assertEqual((8, 10), (before, self.fill()))

    def test_answers_without_pieces_count_by_their_time(self):
        booking = self.booking()
        booking.transfer_ends_at = 1.0
        self.view.record_answer(3.0, booking, pieces=0, piece_gap_s=0.0)
        self.assertAlmostEqual(0.5, self.view.answer_ratio)
