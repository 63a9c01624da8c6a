"""An owner that is late declines new work, the worst rank first."""

import collections
import unittest

import msgspec

from dandeliongw.cell import cell_types
from dandeliongw.cell import cells
from dandeliongw.cell import scheduler
from dandeliongw.cell import shedding
from dandeliongw.coordination import parts
from dandeliongw import effects
from dandeliongw.verdict import RefusalReason
from tests import test_cells
from tests import test_scheduler

LAG_S = 0.25


class SheddingTest(unittest.TestCase):
    """Guards against an owner that answers all bookings too late."""

    def make(self, lag_s=LAG_S, **changes):
        ranks = {f'rank-{rank}': rank for rank in range(3)}
        terms = cell_types.CellTerms(
            first_token_s=5.0,
            token_gap_s=0.3,
            timeout_s=60.0,
            rank_by_priority=ranks,
            max_wait_s_by_priority=dict.fromkeys(ranks, 20.0),
            **changes,
        )
        self.cell = test_cells.make_cell(
            test_cells.make_backend('p1', 'prefill'),
            test_cells.make_backend('d1', 'decode'),
            document_part=terms,
            policy=scheduler.Scheduler(),
            owner_lag_s=lag_s,
        )
        self.tick(0.0)

    def tick(self, now):
        return [
            each
            for each in test_cells.tick(self.cell, now)
            if isinstance(each, effects.Log)
        ]

    def book(self, now, rank, **changes):
        """Return the answer to a booking."""
        book = test_cells.make_book(
            f'r-{now}-{rank}', priority=f'rank-{rank}', **changes
        )
        sent = test_cells.send(self.cell, book, now)
        self.logs = [each for each in sent if isinstance(each, effects.Log)]
        messages = [each.message for each in sent if hasattr(each, 'message')]
        return next(
            each
            for each in messages
            if getattr(each, 'request_id', '') == book.request_id
        )

    def declined(self, now):
        """Return the ranks that are declined."""
        answers = {rank: self.book(now, rank) for rank in range(3)}
        found = set()
        for rank, answer in answers.items():
            if isinstance(answer, cells.Declined):
                self.assertIs(RefusalReason.NO_CAPACITY, answer.reason)
                self.assertGreater(answer.retry_after_s, LAG_S)
                found.add(rank)
        return found

    def test_an_owner_in_time_declines_nothing(self):
        self.make()
        for number in range(1, 6):
            self.tick(number * 0.2)
            self.assertEqual(set(), self.declined(number * 0.2 + 0.19))

    def test_nothing_is_declined_without_the_setting(self):
        self.make(lag_s=None)
        self.assertEqual(set(), self.declined(3.0))
        self.assertAlmostEqual(0.0, self.cell.shedding.longest_lag_s(3.0))
        self.tick(3.0)
        self.assertAlmostEqual(2.95, self.cell.shedding.longest_lag_s(3.0))
        self.assertEqual(0.0, self.cell.shedding.longest_lag_s(14.0))

    def test_better_ranks_follow_until_it_keeps_up(self):
        self.make()
        self.assertEqual(set(), self.declined(0.29))
        self.assertEqual({2}, self.declined(0.31))
        self.assertEqual({2}, self.declined(0.55))
        self.assertEqual({1, 2}, self.declined(0.57))
        # Ticks that are still late don't end it.
        self.tick(0.7)
        self.assertEqual({0, 1, 2}, self.declined(0.9))
        self.tick(1.1)
        self.assertEqual({0, 1, 2}, self.declined(1.12))
        self.tick(1.16)
        self.assertEqual(set(), self.declined(1.17))
        self.assertEqual(
            {0: 2, 1: 3, 2: 5}, dict(self.cell.shedding.counts_by_rank)
        )

    def test_the_worst_rank_that_waits_is_declined_first(self):
        # Memory for one booking.
        self.make(kv_tokens_by_role={'decode': 1_900})
        self.book(0.01, 0)
        self.assertIsInstance(self.book(0.02, 1), cells.Queued)
        self.assertIsInstance(self.book(0.31, 0), cells.Queued)
        self.assertIsInstance(self.book(0.32, 1), cells.Declined)
        self.assertIsInstance(self.book(0.33, 2), cells.Declined)

    def test_known_bookings_and_finished_prefills_are_not_declined(self):
        self.make()
        first = self.book(0.1, 2)
        book = test_cells.make_book('r-0.1-2', priority='rank-2')
        (again,) = test_cells.send(self.cell, book, 0.1)
        self.assertEqual(first, again.message)
        sent = test_cells.send(self.cell, book, 0.9)
        self.assertIsInstance(sent[-1].message, cells.Booked)
        moved = self.book(0.91, 2, stage=cell_types.Stage.DECODE)
        self.assertIsInstance(moved, cells.Booked)

    def test_a_declined_booking_is_not_looked_at(self):
        self.make()
        decide = self.cell.policy.decide
        self.cell.policy.decide = self.fail
        self.assertIsInstance(self.book(0.9, 2), cells.Declined)
        self.cell.policy.decide = decide

    def test_the_log_lines_are_bounded(self):
        self.make()
        lines = []
        now = 0.0
        while now < 9.9:
            now += 0.35
            self.book(now, 2)
            lines += self.logs
            lines += self.tick(now + 0.01)
            now += 0.05
            lines += self.tick(now + 0.01)
        self.assertEqual(
            [
                'this owner is late and declines new work of a cell',
                'this owner keeps up again with a cell',
            ],
            [each.message for each in lines],
        )


class OverloadTest(unittest.TestCase):
    """An owner whose processor decides 166 bookings per second.

    100 arrive per second, but 300 for four seconds. The loop ends a turn
    after 0.35 s of messages; ticks wait for that.
    """

    DECISION_S = 0.006
    REFUSAL_S = 0.0006
    TURN_S = 0.35
    BURST = (2.0, 6.0)

    def replay(self, lag_s):
        """Return the age of each booking at its answer, and its answer."""
        ranks = {f'rank-{rank}': rank for rank in range(3)}
        cell = test_scheduler.make_cell(
            test_cells.make_backend('s1', 'plain', slots=10_000),
            owner_lag_s=lag_s,
        )
        terms = msgspec.structs.replace(
            test_scheduler.TERMS, rank_by_priority=ranks
        )
        cell.handle(cells.TermsChanged(now=0.0, terms=terms))
        arrivals = collections.deque()
        at = 0.0
        while at < 12.0:
            arrivals.append(at)
            at += 1 / 300 if self.BURST[0] < at < self.BURST[1] else 1 / 100
        now, answers = 0.0, []
        while arrivals:
            test_cells.tick(cell, now)
            turn_ends_at = now + self.TURN_S
            next_tick_at = now + shedding.TICK_S
            while arrivals and arrivals[0] <= now < turn_ends_at:
                arrived_at = arrivals.popleft()
                number = len(answers)
                book = test_cells.make_book(
                    f'r{number}',
                    priority=f'rank-{number % 3}',
                    stage=cell_types.Stage.PLAIN,
                )
                (sent,) = [
                    each
                    for each in test_cells.send(cell, book, now)
                    if isinstance(each, parts.Send)
                ]
                is_booked = isinstance(sent.message, cells.Booked)
                now += self.DECISION_S if is_booked else self.REFUSAL_S
                answers.append((arrived_at, now - arrived_at, is_booked))
            now = max(now, next_tick_at)
        return answers

    def longest_age(self, answers, begin, end):
        return max(age for at, age, _ in answers if begin <= at < end)

    def test_it_recovers_within_a_second(self):
        answers = self.replay(LAG_S)
        self.assertLess(self.longest_age(answers, 2.0, 7.0), 1.0)
        self.assertLess(self.longest_age(answers, 7.0, 12.0), 0.2)
        by_rank = [
            sum(is_booked for _, _, is_booked in answers[rank::3])
            for rank in range(3)
        ]
        self.assertGreater(by_rank[0], by_rank[1])
        self.assertGreater(by_rank[1], by_rank[2])
        # It doesn't refuse much more than what its processor can't do.
        self.assertGreater(sum(by_rank), 0.8 * (8 * 100 + 4 * 166))
        self.assertTrue(all(booked for at, _, booked in answers if at > 7.0))

    def test_without_shedding_it_stays_late(self):
        answers = self.replay(None)
        self.assertGreater(self.longest_age(answers, 7.0, 8.0), 2.0)


class OwnerTest(unittest.TestCase):
    def test_a_rank_without_a_label_of_its_own_is_counted(self):
        """Guards against a metric with a label for each priority."""
        cell = test_scheduler.make_cell(
            test_cells.make_backend('p1', 'prefill'),
            test_cells.make_backend('d1', 'decode'),
            owner_lag_s=LAG_S,
        )
        test_cells.tick(cell, 0.0)
        book = test_cells.make_book('r1', priority='unknown')
        test_cells.send(cell, book, 1.0)
        self.assertEqual({9: 1}, dict(cell.shedding.counts_by_rank))
