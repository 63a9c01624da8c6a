"""The number of entries that share what the system has once."""

import unittest

from dandeliongw import entry_count

HOLD_S = 4.0


class EntryCountTest(unittest.TestCase):
    """Guards against an entry that is cut off and uses the share of all."""

    def setUp(self):
        self.alive = 7
        self.count = entry_count.EntryCount(
            alive=lambda: self.alive, hold_s=HOLD_S
        )

    def record(self, now, alive, is_confirmed=True):
        self.alive = alive
        self.count.record(now, is_confirmed=is_confirmed)
        return self.count.at_work()

    def test_before_the_first_record_it_is_what_seems_alive(self):
        self.assertEqual(self.count.at_work(), 7)

    def test_a_higher_number_counts_at_once(self):
        self.record(0.0, 7)
        self.alive = 9
        self.assertEqual(self.count.at_work(), 9)

    def test_a_lower_number_counts_after_a_while(self):
        self.record(0.0, 7)
        self.assertEqual(self.record(HOLD_S - 0.1, 3), 7)
        self.assertEqual(self.record(HOLD_S, 3), 3)

    def test_without_a_majority_it_never_falls(self):
        self.record(0.0, 7)
        for now in (1.0, 10.0, 100.0):
            self.assertEqual(self.record(now, 1, is_confirmed=False), 7)

    def test_it_falls_some_time_after_a_majority_is_back(self):
        """Guards against a count made before all others are heard again."""
        self.record(0.0, 7)
        self.record(100.0, 1, is_confirmed=False)
        self.assertEqual(self.record(100.5, 1), 7)
        self.assertEqual(self.record(100.0 + HOLD_S, 1), 1)

    def test_each_step_down_holds_for_its_own_time(self):
        self.record(0.0, 7)
        self.record(1.0, 5)
        self.record(2.0, 2)
        self.assertEqual(self.record(HOLD_S, 2), 5)
        self.assertEqual(self.record(1.0 + HOLD_S, 2), 2)
