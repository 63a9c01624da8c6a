"""The decisions of the load policy, each on a small view."""

import unittest

from dandeliongw.cell import policy


class HashBlocksTest(unittest.TestCase):
    def test_equal_prefixes_share_hashes_and_others_do_not(self):
        first = policy.hash_blocks('a b c d e', block_tokens=2)
        second = policy.hash_blocks('a b x d', block_tokens=2)
        self.assertEqual(2, len(first))
        self.assertEqual(first[0], second[0])
        self.assertNotEqual(first[1], second[1])


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
