"""Token buckets of the rate limits that backend servers state."""

import unittest

import hypothesis
from hypothesis import strategies
from nose2.tools import params

from dandeliongw.cell import rate_limits
from tests import test_cells

SERVER = test_cells.make_backend('b1', 'plain')
SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=200
)


def limit(per_s, backend_id='b1', incarnation=1):
    return rate_limits.RateLimit(
        backend_id=backend_id, incarnation=incarnation, per_s=per_s
    )


def use(limits, since, until, step_s=0.01):
    """Send whenever that is allowed; return the times."""
    times = []
    for number in range(round((until - since) / step_s)):
        now = since + number * step_s
        if limits.allows(now, SERVER):
            limits.take(now, SERVER)
            times.append(now)
    return times


class RateLimitsTest(unittest.TestCase):
    def setUp(self):
        self.limits = rate_limits.RateLimits()

    def test_without_a_limit_everything_is_allowed(self):
        self.assertTrue(self.limits.allows(0.0, SERVER))
        self.assertEqual(self.limits.next_at(5.0, SERVER, ahead=9), 5.0)
        self.assertEqual(self.limits.interval_s(SERVER), 0.0)

    @params(0.5, 1.2, 1.9, 20.0)
    def test_it_gets_what_it_accepts_and_no_more(self, per_s):
        self.limits.record(0.0, limit(per_s))
        sent = len(use(self.limits, 0.0, 40.0))
        self.assertLessEqual(sent, 40.0 * per_s)
        self.assertGreaterEqual(sent, 0.95 * 40.0 * per_s - 1)

    def test_an_unused_limit_saves_up_one_second(self):
        self.limits.record(0.0, limit(5.0))
        self.assertEqual(len(use(self.limits, 60.0, 60.01)), 1)
        burst = use(self.limits, 60.0, 60.1)
        self.assertLessEqual(len(burst), 5)

    def test_a_limit_of_zero_leaves_a_request_in_ten_seconds(self):
        """Guards against a limit whose end can't be noticed."""
        self.limits.record(0.0, limit(0.0))
        self.assertEqual(len(use(self.limits, 0.0, 39.0, 0.1)), 3)

    def test_a_changed_limit_holds_at_once(self):
        self.limits.record(0.0, limit(10.0))
        use(self.limits, 0.0, 5.0)
        self.limits.record(5.0, limit(1.0))
        self.assertLessEqual(len(use(self.limits, 5.0, 9.0)), 5)

    def test_stating_a_limit_again_adds_nothing(self):
        """Guards against a bucket that is filled by each answer."""
        self.limits.record(0.0, limit(1.0))
        sent = 0
        for number in range(400):
            now = number * 0.01
            self.limits.record(now, limit(1.0))
            if self.limits.allows(now, SERVER):
                self.limits.take(now, SERVER)
                sent += 1
        self.assertLessEqual(sent, 4)

    def test_an_answer_without_a_limit_ends_it(self):
        self.limits.record(1.0, limit(1.0))
        self.limits.lift('b1', 1, asked_at=1.5)
        self.assertTrue(self.limits.allows(1.6, SERVER))

    @params((0.9, 1), (1.5, 2))
    def test_a_late_answer_or_another_start_does_not_end_it(
        self, asked_at, incarnation
    ):
        """Guards against an answer that was overtaken."""
        self.limits.record(1.0, limit(1.0))
        self.limits.lift('b1', incarnation, asked_at=asked_at)
        self.assertFalse(self.limits.allows(1.6, SERVER))

    def test_a_new_start_has_no_limit_yet(self):
        self.limits.record(0.0, limit(0.5, incarnation=0))
        self.assertTrue(self.limits.allows(0.0, SERVER))
        self.assertEqual(self.limits.of([SERVER]), ())
        self.limits.record(0.0, limit(0.5))
        self.assertFalse(self.limits.allows(0.0, SERVER))
        self.assertEqual(self.limits.of([SERVER]), (limit(0.5),))

    def test_it_predicts_when_a_request_is_allowed(self):
        self.limits.record(0.0, limit(2.0))
        self.assertAlmostEqual(self.limits.next_at(0.0, SERVER), 0.5)
        self.assertAlmostEqual(self.limits.next_at(0.0, SERVER, 3), 2.0)
        self.assertAlmostEqual(self.limits.interval_s(SERVER), 0.5)

    def test_only_what_was_heard_lately_is_passed_on(self):
        for number in range(3):
            self.limits.record(float(number), limit(1.0, f'b{number}'))
        self.limits.record(5.0, limit(2.0, 'b0'))
        heard = self.limits.heard_since(1.5, most=9)
        self.assertEqual(heard, (limit(2.0, 'b0'), limit(1.0, 'b2')))
        self.assertEqual(
            self.limits.heard_since(0.0, most=1), (limit(2.0, 'b0'),)
        )

    def test_the_table_is_bounded(self):
        for number in range(rate_limits.MAX_KNOWN + 1):
            self.limits.record(0.0, limit(1.0, f'b{number}'))
        self.assertFalse(self.limits.is_limited('b0', 1))
        self.assertTrue(self.limits.is_limited('b1', 1))

    @SETTINGS
    @hypothesis.given(
        per_s=strategies.floats(0.1, 50.0),
        pauses=strategies.lists(strategies.floats(0.0, 2.0), max_size=80),
    )
    def test_no_window_has_more_than_the_limit_and_one_burst(
        self, per_s, pauses
    ):
        limits = rate_limits.RateLimits()
        limits.record(0.0, limit(per_s))
        now, times = 0.0, []
        for pause in pauses:
            now += pause
            while limits.allows(now, SERVER):
                limits.take(now, SERVER)
                times.append(now)
                self.assertLess(len(times), 10_000, 'it never ends')
        for first, begin in enumerate(times):
            for count, end in enumerate(times[first:], 1):
                burst = max(1.0, per_s * rate_limits.BURST_S)
                self.assertLessEqual(
                    count, (end - begin) * per_s + burst + 1e-6
                )
