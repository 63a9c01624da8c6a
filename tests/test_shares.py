"""Fair shares: capacity that one account doesn't use goes to the others."""

import math
import unittest

from nose2.tools import params

from dandeliongw.cell import shares


class FairLevelTest(unittest.TestCase):
    @params(
        ([(1, 1), (2, 1)], 10, math.inf),
        ([(8, 1), (8, 1)], 10, 5.0),
        ([(2, 1), (20, 1)], 10, 8.0),
        ([(20, 3), (20, 1)], 8, 2.0),
    )
    def test_shares_use_up_the_capacity(self, demands, capacity, level):
        self.assertAlmostEqual(level, shares.fair_level(demands, capacity))


class FairSharesTest(unittest.TestCase):
    def test_only_the_account_above_its_share_is_over(self):
        fair = shares.FairShares()
        for account, amount in (('busy', 100), ('quiet', 10)):
            fair.add_demand(0.0, account, amount)
            fair.add_usage(0.0, account, amount)
        over = {
            account: fair.is_over(0.0, account, {}, capacity=5.0)
            for account in ('busy', 'quiet', 'unknown')
        }
        self.assertEqual(
            {'busy': True, 'quiet': False, 'unknown': False}, over
        )
