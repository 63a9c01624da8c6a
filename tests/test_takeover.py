"""A new owner collects the bookings of all entries."""

import unittest

from dandeliongw.cell import takeover


class TakeoverTest(unittest.TestCase):
    """A new owner must get the bookings of 200 entries before its timeout.

    If it opened a connection to each of them, the timeout would be over
    before the last request is sent. A datagram may be lost, so the request is
    repeated. Without the answers, slots in use would be booked again.
    """

    def setUp(self):
        self.begun = takeover.Takeover(
            now=10.0,
            cell='dieline-llm/local/0',
            epoch=3,
            awaited=frozenset({'gw-1', 'gw-2', 'gw-3'}),
        )

    def sent(self, effects):
        return [(each.to, each.by_datagram) for each in effects]

    def test_the_request_needs_no_connection(self):
        self.assertEqual(
            [('gw-1', True), ('gw-2', True), ('gw-3', True)],
            self.sent(self.begun.announce()),
        )

    def test_the_request_is_repeated_over_a_connection(self):
        self.begun.announce()
        self.begun.record_reclaim('gw-2')
        self.assertEqual([], self.begun.repeat_request(10.1))
        now = 10.0 + takeover.REPEAT_AFTER_S
        self.assertEqual(
            [('gw-1', False), ('gw-3', False)],
            self.sent(self.begun.repeat_request(now)),
        )
        self.assertEqual([], self.begun.repeat_request(now + 0.1))

    def test_it_ends_with_the_last_answer_or_its_timeout(self):
        self.assertFalse(self.begun.is_over(10.1))
        self.assertTrue(self.begun.is_over(10.0 + takeover.TIMEOUT_S))
        for each in ('gw-1', 'gw-2', 'gw-3'):
            self.begun.record_reclaim(each)
        self.assertTrue(self.begun.is_over(10.1))
