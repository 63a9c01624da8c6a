"""Ejection and slow start of backend servers, and the cap on batches."""

import unittest

from dandeliongw.cell import health


class HealthTest(unittest.TestCase):
    """Without ejection, each request would fail on the same engine first."""

    def setUp(self):
        self.health = health.Health()

    def fail(self, *times: float) -> None:
        for now in times:
            self.health.add_fault(now)

    def test_faults_far_apart_eject_nothing(self):
        self.fail(0.0, 6.0, 12.0, 18.0)
        self.assertFalse(self.health.is_ejected(18.0))

    def test_in_slow_start_the_first_fault_ejects_it_again(self):
        self.fail(0.0, 0.1, 0.2, 0.3, 0.4)
        back_at = 0.2 + health.EJECTION_S
        self.assertFalse(self.health.may_get_work(back_at - 0.01))
        self.assertTrue(self.health.may_get_work(back_at))
        self.health.last_booked_at = back_at
        self.assertFalse(self.health.may_get_work(back_at + 0.5))
        self.fail(back_at + 1.0)
        again_s = self.health.ejected_until - (back_at + 1.0)
        self.assertAlmostEqual(2 * health.EJECTION_S, again_s)

    def test_faults_that_are_few_of_many_eject_nothing(self):
        """A low failure rate must not eject a backend server.

        A service fails one call in ten on all its backend servers. If only
        the number of faults counted, all would be ejected in turn, and calls
        would be refused with most slots free.
        """
        for number in range(60):
            now = number / 10
            if number % 10:
                self.health.add_success(now)
            else:
                self.fail(now)
            self.assertFalse(self.health.is_ejected(now))

    def test_one_fault_of_many_calls_in_slow_start_ejects_nothing(self):
        """One fault among successes in slow start must not eject again.

        After an ejection for three faults by chance, a backend server fails
        one call in ten. If any fault in slow start ejected it again, for
        twice the time, the whole pool would be ejected for long.
        """
        self.fail(0.0, 0.1, 0.2)
        back_at = 0.2 + health.EJECTION_S
        for number in range(9):
            self.health.add_success(back_at + number / 10)
        self.fail(back_at + 1.0)
        self.assertFalse(self.health.is_ejected(back_at + 1.0))

    def test_ejections_of_long_ago_lengthen_nothing(self):
        """Long after an ejection, the next one must be short again.

        If each ejection doubled the next, however much later, a short fault
        late in a day would eject a backend server for a minute.
        """
        for number in range(5):
            start = 100.0 * number
            self.fail(start, start + 0.1, start + 0.2)
            left_out_s = self.health.ejected_until - (start + 0.2)
            self.assertAlmostEqual(health.EJECTION_S, left_out_s)

    def test_faults_that_are_a_third_eject(self):
        for number in range(9):
            self.health.add_success(number / 10)
        self.fail(1.0, 1.1, 1.2, 1.3)
        self.assertFalse(self.health.is_ejected(1.3))
        self.fail(1.4)
        self.assertTrue(self.health.is_ejected(1.4))

    def test_a_refused_connection_ejects_at_once(self):
        self.health.add_connection_failure(1.0)
        self.assertTrue(self.health.is_ejected(1.0))
        self.health.add_connection_failure(1.1)
        until = 1.0 + health.EJECTION_S
        self.assertEqual(self.health.ejected_until, until)
        self.assertTrue(self.health.refuses_connections)
        self.health.add_success(2.0)
        self.assertFalse(self.health.refuses_connections)


class BatchTest(unittest.TestCase):
    """Without the cap, all answers of a full engine exceed the token gap."""

    def test_the_cap_falls_while_answers_are_slow_and_then_rises(self):
        batch = health.BatchCap()
        caps = []
        gaps = (0.030, 0.036, 0.036, 0.033, 0.030)
        for number, gap_s in enumerate(gaps):
            batch.adjust(2.0 * number, gap_s, target_s=0.034, streams=24)
            caps.append(batch.cap)
        self.assertEqual([None, 23, 22, 21, 22], caps)

    def test_many_answers_at_once_move_it_by_one(self):
        batch = health.BatchCap()
        for _ in range(10):
            batch.adjust(1.0, 0.036, target_s=0.034, streams=24)
        self.assertEqual(23, batch.cap)
