"""What a cell's owner learns of answers and their pace."""

import unittest

from dandeliongw.cell import backend_state
from dandeliongw.cell import cell_view
from dandeliongw.cell import vocabulary
from tests import test_cells


class LearnedPaceTest(unittest.TestCase):
    """Symptom: work waits for seconds beside engines that are half empty.

    Sequence: engines give half as many tokens a second as the document says.
    Cause: lengths were told by times, so that an answer seemed to hold twice
    the tokens that it had, and to grow twice as fast.
    """

    def setUp(self):
        terms = vocabulary.CellTerms(
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
        return vocabulary.Booking(
            request_id=request_id,
            attempt_id='a',
            entry='gw-1',
            account='x',
            priority='y',
            stage=vocabulary.Stage.PAIR,
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
            self.view.learn_answer(
                3.2, self.booking(), pieces=64, piece_gap_s=0.05
            )

    def fill(self):
        """Return how many streams the engine has room for at once."""
        for number in range(64):
            booking = self.booking(f'r{number}')
            if not self.view.has_kv_room(0.0, self.state, booking):
                return number
            self.state.bookings_by_key[booking.key] = booking
        return 64

    def test_pace_and_length_come_from_the_pieces(self):
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
        self.view.learn_answer(3.0, booking, pieces=0, piece_gap_s=0.0)
        self.assertAlmostEqual(0.5, self.view.answer_ratio)
