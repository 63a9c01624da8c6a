"""Calls that arrive before the first configuration are queued."""

import unittest

from dandeliongw.cell import cells
from dandeliongw import effects
from dandeliongw import verdict
from tests.entry_fake import Entry

REASON = verdict.RefusalReason


class StartupQueueTest(unittest.TestCase):
    """Guards against calls that are late or refused after a power failure.

    All instances start at once and open their ports some tenths of a second
    before the voters have a configuration. A call that is refused meanwhile
    is retried a second later, past its latency target.
    """

    def setUp(self):
        self.entry = Entry(startup_wait_s=2.0)
        self.entry.directory.fresh = False
        self.entry.tick()

    def refusal(self):
        return self.entry.one(effects.Refuse).refusal

    def test_calls_start_with_the_configuration(self):
        self.entry.arrive()
        self.assertEqual([], self.entry.out)
        self.entry.tick(0.5)
        self.assertEqual([], self.entry.sent(cells.Book))
        self.entry.directory.fresh = True
        self.entry.tick(0.1)
        ((_, book),) = self.entry.sent(cells.Book)
        request = self.entry.requests.requests_by_id[book.request_id]
        self.assertAlmostEqual(0.6, self.entry.now - request.arrived_at)
        # The search for an owner starts with its full timeout.
        self.assertEqual(self.entry.now, request.phase_at)

    def test_calls_are_refused_when_the_start_takes_too_long(self):
        self.entry.arrive()
        self.entry.tick(1.0)
        self.assertEqual([], self.entry.found(effects.Refuse))
        self.entry.tick(1.0)
        self.assertIs(REASON.CONFIGURATION_STALE, self.refusal().reason)
        self.assertIs(verdict.Verdict.NOT_RUN, self.refusal().verdict)

    def test_a_call_past_its_deadline_is_refused_sooner(self):
        self.entry.arrive(deadline_s=0.25)
        self.entry.tick(0.3)
        self.assertIs(REASON.CONFIGURATION_STALE, self.refusal().reason)

    def test_later_calls_are_refused_at_once(self):
        self.entry.tick(2.0)
        self.entry.arrive()
        self.assertIs(REASON.CONFIGURATION_STALE, self.refusal().reason)

    def test_a_shutdown_does_not_wait_for_queued_calls(self):
        self.entry.arrive()
        self.entry.directory.is_draining = True
        self.entry.tick(0.1)
        self.assertIs(REASON.DRAINING, self.refusal().reason)

    def test_the_call_of_a_disconnected_client_is_removed(self):
        request_id = self.entry.arrive()
        self.entry.leave(request_id)
        self.assertIs(REASON.CALLER_GONE, self.refusal().reason)
        self.entry.close(request_id)
        self.entry.directory.fresh = True
        self.entry.tick(0.1)
        self.assertEqual([], self.entry.out)
