"""A new owner hears what all entries hold."""

import unittest

from dandeliongw.cell import takeover


class TakeoverTest(unittest.TestCase):
    """Symptom: a cell of 200 entries books full slots after a failover.

    Sequence: its new owner asks all of them what they hold, and opens a
    connection to each; the time for the answers is over before the last
    question has left. Or a question is lost.
    Cause: connections for one message; a question that is asked once.
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

    def test_the_question_needs_no_connection(self):
        self.assertEqual(
            [('gw-1', True), ('gw-2', True), ('gw-3', True)],
            self.sent(self.begun.announce()),
        )

    def test_who_has_not_answered_is_asked_again_in_another_way(self):
        self.begun.announce()
        self.begun.note_reclaim('gw-2')
        self.assertEqual([], self.begun.remind(10.1))
        now = 10.0 + takeover.REMIND_S
        self.assertEqual(
            [('gw-1', False), ('gw-3', False)],
            self.sent(self.begun.remind(now)),
        )
        self.assertEqual([], self.begun.remind(now + 0.1))

    def test_it_ends_with_the_last_answer_or_its_time(self):
        self.assertFalse(self.begun.is_over(10.1))
        self.assertTrue(self.begun.is_over(10.0 + takeover.LONGEST_S))
        for each in ('gw-1', 'gw-2', 'gw-3'):
            self.begun.note_reclaim(each)
        self.assertTrue(self.begun.is_over(10.1))
