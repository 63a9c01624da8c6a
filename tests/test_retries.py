"""Retries stay a part of the requests."""

import unittest

from nose2.tools import params

from dandeliongw.entry import retries


class RetryBudgetTest(unittest.TestCase):
    def test_an_outage_cannot_multiply_the_load(self):
        budget = retries.RetryBudget(part=0.1, burst=2.0, left=2.0)
        spent = 0
        for _ in range(100):
            budget.earn()
            spent += sum(budget.spend() for _ in range(3))
        self.assertIn(spent, (11, 12))

    @params((2, 0, 0.01), (2, 2**64 - 1, 0.02), (60, 2**64 - 1, 1.0))
    def test_pauses_grow_to_a_bound_and_are_spread(self, attempt, bits, s):
        self.assertAlmostEqual(s, retries.pause_s(attempt, bits))


class Budgets(unittest.TestCase):
    def test_a_budget_is_a_share_of_the_requests(self):
        budget = retries.RetryBudget(part=0.1, burst=10.0, left=10.0)
        while budget.spend():
            pass
        for _ in range(9):
            budget.earn()
        self.assertFalse(budget.spend())
        for _ in range(2):
            budget.earn()
        self.assertTrue(budget.spend())

    def test_what_is_left_is_told_by_service(self):
        budgets = retries.RetryBudgets()
        budgets.spend('a')
        budgets.earn('b')
        full = retries.RETRY_BURST
        self.assertEqual({'a': full - 1, 'b': full}, budgets.left_by_service())
