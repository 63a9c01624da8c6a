"""The forecast peak of a KV cache, compared with all points in time."""

import unittest

import hypothesis
from hypothesis import strategies as st

from dandeliongw.cell import forecast

RATE = 10.0


def held_at(growths, moment):
    return sum(
        each.held + RATE * moment
        for each in growths
        if each.ends_in_s >= moment
    )


class ForecastTest(unittest.TestCase):
    @hypothesis.given(
        st.lists(
            st.builds(
                forecast.Growth,
                held=st.integers(0, 500).map(float),
                ends_in_s=st.integers(0, 40).map(lambda n: n / 4),
            ),
            max_size=8,
        )
    )
    def test_the_peak_is_the_most_of_all_moments(self, growths):
        moments = [number / 4 for number in range(41)]
        most = max((held_at(growths, each) for each in moments), default=0.0)
        self.assertAlmostEqual(most, forecast.peak_tokens(growths, RATE))

    def test_work_that_ends_soon_makes_room_in_time(self):
        """The peaks of bookings that end at different times aren't added."""
        growths = [
            forecast.Growth(held=100.0, ends_in_s=1.0),
            forecast.Growth(held=0.0, ends_in_s=10.0),
        ]
        self.assertEqual(120.0, forecast.peak_tokens(growths, RATE))
