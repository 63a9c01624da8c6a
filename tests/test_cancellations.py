"""Attempts that are cancelled or withdrawn while their thread is blocked."""

import unittest

from nose2.tools import params

from dandeliongw.entry import cancellations


class Adapter:
    """Records how its call was broken off."""

    def __init__(self):
        self.ends = []

    def abort(self):
        self.ends.append('aborted')

    def withdraw(self, *, is_forced):
        self.ends.append(f'withdrawn, forced: {is_forced}')


class CancellationsTest(unittest.TestCase):
    def setUp(self):
        self.cancellations = cancellations.Cancellations()
        self.adapter = Adapter()

    def test_a_registered_one_is_aborted(self):
        with self.cancellations.registered('a.1', 's1', self.adapter):
            self.cancellations.cancel('a.1')
        self.assertEqual(['aborted'], self.adapter.ends)

    def test_one_that_is_registered_later_is_aborted_at_once(self):
        self.cancellations.cancel('a.1')
        with self.cancellations.registered('a.1', 's1', self.adapter):
            self.assertEqual(['aborted'], self.adapter.ends)

    @params(True, False)
    def test_a_send_is_withdrawn(self, is_forced):
        with self.cancellations.registered('a.1', 's1', self.adapter):
            self.cancellations.withdraw('a.1', 's1', is_forced=is_forced)
        self.assertEqual(
            [f'withdrawn, forced: {is_forced}'], self.adapter.ends
        )

    def test_the_next_step_at_another_server_is_not(self):
        """Guards against a decode that ends as its prefill engine leaves."""
        with self.cancellations.registered('a.1', 'd1', self.adapter):
            self.cancellations.withdraw('a.1', 'p1', is_forced=True)
        self.assertEqual([], self.adapter.ends)
