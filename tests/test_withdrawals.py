"""Steps under way at backend servers that leave."""

import unittest

from nose2.tools import params

from dandeliongw.cell import cells
from dandeliongw.coordination import parts
from dandeliongw.coordination import presence
from dandeliongw import effects
from dandeliongw import events
from dandeliongw import sockets
from dandeliongw import verdict
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


class WithdrawalTest(unittest.TestCase):
    """Guards against sends that are held and arrive long after a leave."""

    def setUp(self):
        self.entry = entry_fake.Entry()

    def leave(self, backend_id):
        departure = presence.BackendDeparture(
            backend_id=backend_id, incarnation=0, sequence=9
        )
        message = presence.PresenceBatch(renewals=(), departures=(departure,))
        self.entry.presence.handle(
            parts.Received(now=self.entry.now, sender='gw-3', message=message)
        )
        self.entry.requests.note_departure(self.entry.now, departure)

    def withdrawn(self, seconds):
        """Let time pass; return whether each directive is forced."""
        found = []
        for _ in range(round(seconds * 10)):
            self.entry.tick()
            found += [
                each.is_forced for each in self.entry.found(effects.Withdraw)
            ]
        return found

    def calling(self, kind):
        request_id = self.entry.arrive(kind)
        self.entry.book(request_id)
        return request_id

    def test_what_is_not_received_is_broken_off(self):
        self.calling('lookup')
        self.leave('s1')
        self.assertEqual([], self.withdrawn(sockets.RECEIPT_S - 0.2))
        self.assertEqual([False], self.withdrawn(0.3))

    def test_an_idempotent_call_without_an_answer_goes_elsewhere(self):
        self.calling('lookup')
        self.leave('s1')
        self.assertEqual([False, True], self.withdrawn(3.0))

    def test_a_prefill_without_an_answer_goes_elsewhere(self):
        self.entry.prefilling()
        self.leave('p1')
        self.assertEqual([False, True], self.withdrawn(3.0))

    def test_a_booking_at_work_goes_on(self):
        """It may not run twice, and what was received is being worked on."""
        self.entry.calling('booking', None)
        self.leave('s1')
        self.assertEqual([False], self.withdrawn(3.0))

    def test_a_stream_in_an_engine_s_queue_goes_on(self):
        self.entry.decoding()
        self.leave('d1')
        self.assertEqual([False], self.withdrawn(3.0))

    def test_a_call_goes_on_if_no_retry_could_follow(self):
        self.entry = entry_fake.Entry(entries=10_000)
        self.calling('lookup')
        self.leave('s1')
        self.assertEqual([False], self.withdrawn(3.0))

    def test_the_next_step_of_an_attempt_is_not_broken_off(self):
        request_id = self.entry.prefilling()
        self.leave('p1')
        self.entry.prefill(request_id)
        self.assertEqual([], self.withdrawn(3.0))

    def test_an_ended_request_is_not(self):
        request_id = self.calling('lookup')
        self.leave('s1')
        self.entry.answer(request_id)
        self.assertEqual([], self.withdrawn(3.0))


class UnsentTest(unittest.TestCase):
    """Guards against sends to servers that left while a call connected."""

    def setUp(self):
        self.entry = entry_fake.Entry()

    def leave(self, backend_id):
        WithdrawalTest.leave(self, backend_id)

    def end_unsent(self, request_id, step):
        self.entry.end(
            request_id,
            step,
            failure=verdict.RetryReason.BACKEND_LEFT,
            known=verdict.Verdict.NOT_RUN,
            was_sent=False,
        )

    @params(('booking', 's1'), ('lookup', 's1'))
    def test_a_call_is_booked_anew(self, kind, left):
        """Also one that may not run twice, as nothing was sent."""
        request_id = self.entry.arrive(kind)
        self.entry.book(request_id)
        self.leave(left)
        self.end_unsent(request_id, events.Step.CALL)
        ((_, book),) = self.entry.sent(cells.Book)
        self.assertIn(left, book.exclude)
        self.entry.book(request_id, plain_id='s2', plain_url='http://s2')
        self.assertEqual('http://s2', self.entry.one(effects.RunCall).url)

    def test_a_prefill_is_booked_anew(self):
        request_id = self.entry.prefilling()
        self.leave('p1')
        self.end_unsent(request_id, events.Step.PREFILL)
        ((_, book),) = self.entry.sent(cells.Book)
        self.assertIn('p1', book.exclude)

    def test_a_cache_moves_to_another_engine(self):
        request_id = self.entry.decoding()
        self.leave('d1')
        self.end_unsent(request_id, events.Step.DECODE)
        ((_, book),) = self.entry.sent(cells.Book)
        self.assertEqual('decode', book.stage.value)
        self.entry.book(request_id, decode_id='d2', decode_url='http://d2')
        self.assertEqual('http://d2', self.entry.one(effects.RunDecode).url)
