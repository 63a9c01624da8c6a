"""What fails is left out, comes back slowly, and batches stay fast."""

import unittest

from dandeliongw.cell import health


class HealthTest(unittest.TestCase):
    """Symptom: each request finds out anew that one engine fails."""

    def setUp(self):
        self.health = health.Health()

    def fail(self, *times: float) -> None:
        for now in times:
            self.health.add_fault(now)

    def test_faults_far_apart_eject_nothing(self):
        self.fail(0.0, 6.0, 12.0, 18.0)
        self.assertFalse(self.health.is_ejected(18.0))

    def test_it_comes_back_slowly_and_goes_at_the_first_fault(self):
        self.fail(0.0, 0.1, 0.2, 0.3, 0.4)
        back_at = 0.2 + health.EJECTED_S
        self.assertFalse(self.health.may_get_work(back_at - 0.01))
        self.assertTrue(self.health.may_get_work(back_at))
        self.health.last_given_at = back_at
        self.assertFalse(self.health.may_get_work(back_at + 0.5))
        self.fail(back_at + 1.0)
        again_s = self.health.ejected_until - (back_at + 1.0)
        self.assertAlmostEqual(2 * health.EJECTED_S, again_s)


class BatchTest(unittest.TestCase):
    """Symptom: every answer of a full engine is a little too slow."""

    def test_the_cap_falls_while_answers_are_slow_and_then_rises(self):
        batch = health.Batch()
        caps = []
        gaps = (0.030, 0.036, 0.036, 0.033, 0.030)
        for number, gap_s in enumerate(gaps):
            batch.learn(2.0 * number, gap_s, target_s=0.034, streams=24)
            caps.append(batch.cap)
        self.assertEqual([None, 23, 22, 21, 22], caps)

    def test_many_answers_at_once_move_it_by_one(self):
        batch = health.Batch()
        for _ in range(10):
            batch.learn(1.0, 0.036, target_s=0.034, streams=24)
        self.assertEqual(23, batch.cap)
