"""What an entry tells owners of the limits that answers state."""

import unittest

from dandeliongw.cell import cells
from dandeliongw.cell import rate_limits
from dandeliongw import effects
from dandeliongw.entry import rate_limit_reports
from dandeliongw import events
from tests import entry_fake

BOOKED_LIMIT = rate_limits.RateLimit(backend_id='s1', incarnation=3, per_s=1.5)


class ReportTest(unittest.TestCase):
    """Guards against an owner that books without knowing a limit."""

    def setUp(self):
        self.entry = entry_fake.Entry()

    def place(self, **changes):
        request_id = self.entry.arrive()
        self.entry.receive(
            self.entry.booked(
                request_id,
                plain_id='s1',
                plain_url='http://s1',
                plain_incarnation=3,
                **changes,
            )
        )
        return request_id

    def state(self, request_id, per_s):
        return self.entry.post(
            events.RateLimitStated,
            request_id=request_id,
            attempt_id=self.entry.ids_of(request_id)['attempt_id'],
            step=events.Step.CALL,
            per_s=per_s,
        )

    def reports(self):
        return [
            (each.backend_id, each.incarnation, each.per_s)
            for _, each in self.entry.sent(
                cells.RateLimitReported, self.entry.out
            )
        ]

    def test_the_owner_is_told_at_once(self):
        request_id = self.place()
        self.entry.now += 0.25
        self.state(request_id, 1.5)
        self.assertEqual(self.reports(), [('s1', 3, 1.5)])
        ((_, report),) = self.entry.sent(cells.RateLimitReported)
        self.assertAlmostEqual(report.age_s, 0.25)

    def test_the_same_again_is_told_now_and_then(self):
        first, second, third = (self.place() for _ in range(3))
        self.state(first, 1.5)
        self.state(second, 1.5)
        self.assertEqual(self.reports(), [])
        self.entry.now += rate_limit_reports.REPORT_INTERVAL_S
        self.state(third, 1.5)
        self.assertEqual(len(self.reports()), 1)

    def test_a_changed_limit_is_told_at_once(self):
        first, second = self.place(), self.place()
        self.state(first, 1.5)
        self.state(second, 1.0)
        self.assertEqual(self.reports(), [('s1', 3, 1.0)])

    def test_the_end_of_a_limit_is_told(self):
        request_id = self.place(rate_limits=(BOOKED_LIMIT,))
        self.assertTrue(self.entry.one(effects.RunCall).is_rate_limited)
        self.state(request_id, None)
        self.assertEqual(self.reports(), [('s1', 3, None)])
        self.assertFalse(self.entry.rate_limits.is_limited('s1', 3))

    def test_a_limit_that_the_owner_tells_is_known_here(self):
        self.place(rate_limits=(BOOKED_LIMIT,))
        self.assertTrue(self.entry.rate_limits.is_limited('s1', 3))

    def test_an_unknown_limit_needs_no_report_of_its_absence(self):
        self.place()
        self.assertFalse(self.entry.one(effects.RunCall).is_rate_limited)

    def test_an_entry_that_placed_it_itself_tells_the_owner_all_the_same(
        self,
    ):
        """Guards against an owner that is slow and never learns the limit."""
        self.entry.directory.places_alone = True
        request_id = self.entry.arrive()
        self.entry.tick(0.2)
        booked = self.entry.booked(
            request_id, plain_id='s1', plain_incarnation=3
        )
        self.entry.receive(booked, sender='gw-0')
        self.state(request_id, 1.5)
        self.assertEqual(self.reports(), [('s1', 3, 1.5)])
        ((owner, _),) = self.entry.sent(
            cells.RateLimitReported, self.entry.out
        )
        self.assertEqual(owner, entry_fake.OWNER)

    def test_a_new_owner_is_told_what_is_known(self):
        self.state(self.place(), 1.5)
        self.entry.take(
            self.entry.requests.reclaim_all(
                self.entry.now, entry_fake.CELL, entry_fake.NEXT_OWNER, 2
            )
        )
        ((_, reclaim),) = self.entry.sent(cells.Reclaim, self.entry.out)
        self.assertEqual(reclaim.rate_limits, (BOOKED_LIMIT,))

    def test_an_answer_to_an_attempt_that_is_over_tells_nothing(self):
        request_id = self.place()
        self.entry.answer(request_id)
        self.state(request_id, 1.5)
        self.assertEqual(self.reports(), [])
