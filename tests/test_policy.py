"""The decisions of the load policy, each on a small view."""

import unittest

from dandeliongw import policy


class HashBlocksTest(unittest.TestCase):
    def test_equal_prefixes_share_hashes_and_others_do_not(self):
        first = policy.hash_blocks('a b c d e', block_tokens=2)
        second = policy.hash_blocks('a b x d', block_tokens=2)
        self.assertEqual(2, len(first))
        self.assertEqual(first[0], second[0])
        self.assertNotEqual(first[1], second[1])


class HealthTest(unittest.TestCase):
    """Symptom: each request finds out anew that one engine fails."""

    def setUp(self):
        self.health = policy.Health()

    def fail(self, *times: float) -> None:
        for now in times:
            self.health.add_fault(now)

    def test_faults_far_apart_eject_nothing(self):
        self.fail(0.0, 6.0, 12.0, 18.0)
        self.assertFalse(self.health.is_ejected(18.0))

    def test_it_comes_back_slowly_and_goes_at_the_first_fault(self):
        self.fail(0.0, 0.1, 0.2, 0.3, 0.4)
        back_at = 0.2 + policy.EJECTED_S
        self.assertFalse(self.health.may_get_work(back_at - 0.01))
        self.assertTrue(self.health.may_get_work(back_at))
        self.health.last_given_at = back_at
        self.assertFalse(self.health.may_get_work(back_at + 0.5))
        self.fail(back_at + 1.0)
        again_s = self.health.ejected_until - (back_at + 1.0)
        self.assertAlmostEqual(2 * policy.EJECTED_S, again_s)


class BlocksTest(unittest.TestCase):
    def test_hints_are_bounded_and_forget_the_oldest(self):
        backend = policy.CellBackend(
            backend_id='p1',
            incarnation=1,
            role=policy.Role.PREFILL,
            url='',
            slots=1,
        )
        state = policy.BackendState(backend=backend)
        state.add_blocks(('first', 'second'))
        self.assertEqual(
            2 * policy.BLOCK_TOKENS,
            state.cached_tokens(('first', 'second', 'third')),
        )
        state.add_blocks(str(n) for n in range(policy.MOST_BLOCKS))
        self.assertEqual(0, state.cached_tokens(('first',)))
        self.assertEqual(policy.MOST_BLOCKS, len(state.blocks))


class BatchTest(unittest.TestCase):
    """Symptom: every answer of a full engine is a little too slow."""

    def test_the_cap_falls_while_answers_are_slow_and_then_rises(self):
        batch = policy.Batch()
        caps = []
        gaps = (0.030, 0.036, 0.036, 0.033, 0.030)
        for number, gap_s in enumerate(gaps):
            batch.learn(2.0 * number, gap_s, target_s=0.034, streams=24)
            caps.append(batch.cap)
        self.assertEqual([None, 23, 22, 21, 22], caps)

    def test_many_answers_at_once_move_it_by_one(self):
        batch = policy.Batch()
        for _ in range(10):
            batch.learn(1.0, 0.036, target_s=0.034, streams=24)
        self.assertEqual(23, batch.cap)
