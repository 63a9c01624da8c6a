"""Hashes of a prompt's prefixes."""

import unittest

from dandeliongw.cell import prefixes


class HashBlocksTest(unittest.TestCase):
    def test_equal_prefixes_share_hashes_and_others_do_not(self):
        first = prefixes.hash_blocks('a b c d e', block_tokens=2)
        second = prefixes.hash_blocks('a b x d', block_tokens=2)
        self.assertEqual(2, len(first))
        self.assertEqual(first[0], second[0])
        self.assertNotEqual(first[1], second[1])
