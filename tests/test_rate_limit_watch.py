"""Log lines on the rate limits that backend servers state."""

import unittest

from dandeliongw.cell import rate_limits
from dandeliongw.coordination import presence
from dandeliongw.entry import rate_limit_watch


def start(number=1, incarnation=1):
    return presence.BackendStart(
        backend_id=f'b-{number}', incarnation=incarnation
    )


class RateLimitWatchTest(unittest.TestCase):
    def setUp(self):
        self.watch = rate_limit_watch.RateLimitWatch()

    def lines(self, *limits, of=None):
        """Return the lines that are written on a series of answers."""
        return [
            (line.message, dict(line.fields).get('per_s'))
            for per_s in limits
            for line in self.watch.record(
                of or start(), service='s', request_id='r', per_s=per_s
            )
        ]

    def test_a_limit_is_told_once_until_it_changes_by_a_tenth(self):
        self.assertEqual(
            self.lines(2.0, 2.0, 2.1, 1.7),
            [
                ('backend server limits its rate', '2.000'),
                ('backend server limits its rate', '1.700'),
            ],
        )

    def test_the_end_of_a_limit_is_told_once(self):
        self.assertEqual(
            self.lines(None, 2.0, None, None),
            [
                ('backend server limits its rate', '2.000'),
                ('backend server limits its rate no more', None),
            ],
        )

    def test_a_limit_of_zero_is_told_once(self):
        self.assertEqual(len(self.lines(0.0, 0.0)), 1)

    def test_each_start_of_a_server_is_told_by_itself(self):
        self.lines(2.0)
        self.assertEqual(len(self.lines(2.0, of=start(incarnation=2))), 1)

    def test_every_answer_with_a_limit_is_counted(self):
        self.lines(2.0, 2.0, None, 2.0)
        self.assertEqual(self.watch.stated_count, 3)

    def test_known_limits_are_bounded(self):
        for number in range(rate_limits.MAX_KNOWN + 1):
            self.lines(2.0, of=start(number))
        self.assertEqual(len(self.lines(2.0, of=start(0))), 1)
        self.assertEqual(self.lines(2.0, of=start(5)), [])
