"""Retry budgets and backoff."""

import unittest

from nose2.tools import params

from dandeliongw.entry import retries
from dandeliongw import settings
from tests import entry_fake


class RetryBudgetTest(unittest.TestCase):
    def test_an_outage_cannot_multiply_the_load(self):
        budget = retries.RetryBudget(part=0.1, burst=2.0, left=2.0)
        spent = 0
        for _ in range(100):
            budget.earn()
            spent += sum(budget.spend() for _ in range(3))
        self.assertIn(spent, (11, 12))

    @params((2, 0, 0.01), (2, 2**64 - 1, 0.02), (60, 2**64 - 1, 1.0))
    def test_backoff_is_bounded_and_jittered(self, attempt, bits, s):
        self.assertAlmostEqual(s, retries.backoff_s(attempt, bits))


class TogetherTest(unittest.TestCase):
    """Guards against an outage that causes many times the allowed retries.

    An engine with streams of all entries fails, and each entry retries its
    own. If each entry saved up the burst of the whole system, seven entries
    would send 280 retries where 54 are allowed.
    """

    def spend_all(self, budgets):
        spent = 0
        while budgets.spend('a'):
            spent += 1
        return spent

    @params(1, 2, 7, 40)
    def test_all_entries_together_save_up_one_burst(self, count):
        entries = [entry_fake.make_budgets(count) for _ in range(count)]
        spent = sum(self.spend_all(each) for each in entries)
        self.assertLessEqual(spent, settings.Retries().saved)
        self.assertGreaterEqual(spent, settings.Retries().saved / 2)

    def test_a_share_of_less_than_one_is_one(self):
        budgets = entry_fake.make_budgets(100)
        self.assertEqual(1, self.spend_all(budgets))

    def test_new_entries_take_their_share(self):
        count = 1
        usual = settings.Retries()
        budgets = retries.RetryBudgets(
            part=usual.part, burst=usual.saved, entries=lambda: count
        )
        budgets.earn('a')
        count = 4
        self.assertEqual(10, self.spend_all(budgets))


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

    def test_remaining_retries_by_service(self):
        budgets = entry_fake.make_budgets(1)
        budgets.spend('a')
        budgets.earn('b')
        full = settings.Retries().saved
        self.assertEqual({'a': full - 1, 'b': full}, budgets.left_by_service())
