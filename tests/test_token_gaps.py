"""Measurement of an answer's token gaps, with simulated times."""

import unittest

from nose2.tools import params

from dandeliongw.entry import token_gaps


def measured(*times):
    """Return the mean gap for (arrived, taken) times in seconds."""
    measure = token_gaps.TokenGapMeter()
    for arrived_at, taken_at in times:
        measure.arrived(arrived_at)
        measure.taken(taken_at)
    return measure.mean_s()


class MeanGap(unittest.TestCase):
    def test_the_gap_is_the_mean_time_between_arrivals(self):
        times = ((5.0, 5.0), (5.1, 5.1), (5.4, 5.4))
        self.assertAlmostEqual(measured(*times), 0.2)

    @params((), ((5.0, 5.0),))
    def test_fewer_than_two_tokens_have_no_gap(self, *times):
        self.assertEqual(measured(*times), 0.0)

    def test_the_first_arrival_is_known_once_there_is_one(self):
        measure = token_gaps.TokenGapMeter()
        self.assertIsNone(measure.first_at)
        measure.arrived(5.0)
        measure.arrived(6.0)
        self.assertEqual(5.0, measure.first_at)

    def test_a_slow_client_is_not_counted_against_the_engine(self):
        """Guards against a batch limit for an engine that is fast enough.

        A client on a slow connection takes each token a second late. This
        delay must not count as the engine's token gap.
        """
        self.assertEqual(measured((0.0, 1.0), (1.0, 2.0), (2.0, 3.0)), 0.0)

    def test_a_fast_client_does_not_hide_the_gap(self):
        times = ((0.0, 0.001), (0.1, 0.101), (0.2, 9.0))
        self.assertAlmostEqual(measured(*times), 0.1)
