"""Steps under way at backend servers that leave."""

import unittest

from nose2.tools import params

from dandeliongw.coordination import presence
from dandeliongw import effects
from tests import entry_fake

LINE = 'step under way at a leaving server'


class LogTest(unittest.TestCase):
    """Guards against a log that hides what was sent before a leave."""

    def setUp(self):
        self.entry = entry_fake.Entry()

    def lines(self, backend_id, *, incarnation=0):
        departure = presence.BackendDeparture(
            backend_id=backend_id, incarnation=incarnation, sequence=9
        )
        done = self.entry.requests.note_departure(self.entry.now, departure)
        return [
            dict(each.fields)
            for each in done
            if isinstance(each, effects.Log) and each.message == LINE
        ]

    @params(('s1', 1), ('s2', 0))
    def test_a_call(self, leaving, expected):
        request_id = self.entry.arrive('lookup')
        self.entry.book(request_id)
        self.assertEqual(expected, len(self.lines(leaving)))

    @params(('p1', ['prefill']), ('d1', []))
    def test_a_prefill(self, leaving, expected):
        self.entry.prefilling()
        found = [each['step'] for each in self.lines(leaving)]
        self.assertEqual(expected, found)

    @params(('p1', []), ('d1', ['decode']))
    def test_a_decode(self, leaving, expected):
        self.entry.decoding()
        found = [each['step'] for each in self.lines(leaving)]
        self.assertEqual(expected, found)

    def test_a_later_start_of_the_server(self):
        request_id = self.entry.arrive('lookup')
        self.entry.book(request_id, plain_incarnation=2)
        self.assertEqual([], self.lines('s1', incarnation=1))

    def test_a_call_that_waits_for_a_place(self):
        self.entry.arrive('lookup')
        self.assertEqual([], self.lines('s1'))
