"""Trials of quarantined calls at their entry."""

import unittest

from dandeliongw.cell import cells
from dandeliongw.coordination import presence
from dandeliongw.coordination import quarantine
from dandeliongw import effects
from dandeliongw.entry import trials
from dandeliongw import events
from dandeliongw import verdict
from tests import entry_fake
from tests import test_pass_through

REASON = verdict.RefusalReason
RETRY = verdict.RetryReason
NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


class TrialTestCase(unittest.TestCase):
    """Base class: clients without an account, one call quarantined."""

    def setUp(self):
        self.entry = entry_fake.Entry()
        self.entry.directory.document = test_pass_through.described(
            repeat='always', max_runs=3
        )

    def call(self, path='/plain/x', **changes):
        return {
            'host': 'a.example',
            'path': path,
            'key_sha256': '',
            'service': '',
            'streamed': False,
            **changes,
        }

    def arrive(self, **changes):
        return self.entry.arrive(**self.call(**changes))

    def hold(self, age_s, **changes):
        """Quarantine a call.

        :param age_s: seconds since the last backend server ended under it.
        """
        call = entry_fake.call(**self.call(**changes))
        for number, backend_id in enumerate('abc'):
            self.entry.quarantine.handle(
                quarantine.Ended(
                    now=self.entry.now,
                    fingerprint=self.entry.quarantine_check.fingerprint(call),
                    start=presence.BackendStart(
                        backend_id=backend_id, incarnation=1
                    ),
                    ended_at=self.entry.now - age_s - 2 + number,
                )
            )

    def answer(self, request_id, *, is_granted):
        return self.entry.take(
            self.entry.requests.trial_answered(
                self.entry.now, request_id, is_granted
            )
        )

    def tried(self, **changes):
        """Return the id of a request that is booked as a trial."""
        self.hold(60.0, **changes)
        request_id = self.arrive(**changes)
        self.answer(request_id, is_granted=True)
        self.entry.book(request_id)
        return request_id


class GrantTest(TrialTestCase):
    def test_a_send_before_the_trial_is_due_gets_a_retry_time(self):
        self.hold(4.0)
        self.arrive()
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)
        self.assertEqual(6.0, self.entry.refusal.retry_after_s)

    def test_a_send_requests_a_trial_that_is_due(self):
        self.hold(60.0)
        request_id = self.arrive()
        (asked,) = self.entry.dispatched(quarantine.AskTrial)
        self.assertEqual(trials.TRIAL_TICKET + request_id, asked.ticket)
        self.assertEqual([], self.entry.sent(cells.Book))

    def test_an_unanswered_trial_request_times_out(self):
        self.hold(60.0)
        self.arrive()
        self.entry.tick(trials.GRANT_TIMEOUT_S + 0.01)
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)
        self.assertEqual(NOT_RUN, self.entry.refusal.verdict)
        # The trial that is due may be granted to this client's next send.
        self.assertLess(self.entry.refusal.retry_after_s, 10.0)

    def test_a_send_is_refused_during_another_trial(self):
        self.hold(60.0)
        self.answer(self.arrive(), is_granted=False)
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)
        self.assertEqual([], self.entry.sent(cells.Book))

    def test_a_late_grant_starts_nothing(self):
        self.hold(60.0)
        request_id = self.arrive()
        self.entry.tick(trials.GRANT_TIMEOUT_S + 0.01)
        self.assertEqual([], self.answer(request_id, is_granted=True))

    def test_a_duplicate_grant_starts_one_attempt(self):
        self.hold(60.0)
        request_id = self.arrive()
        self.answer(request_id, is_granted=True)
        self.assertEqual([], self.answer(request_id, is_granted=True))

    def test_a_disconnect_while_waiting_for_the_grant(self):
        self.hold(60.0)
        request_id = self.arrive()
        self.entry.leave(request_id)
        self.assertEqual(REASON.CALLER_GONE, self.entry.refusal.reason)
        self.assertEqual([], self.answer(request_id, is_granted=True))

    def test_a_call_with_credentials_gets_no_trial(self):
        """Only that client's own sends can have crashed the servers."""
        mine = {'credentials_sha256': 'e' * 64}
        self.hold(60.0, **mine)
        self.arrive(**mine)
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)
        self.assertGreater(self.entry.refusal.retry_after_s, 60.0)


class TrialTest(TrialTestCase):
    def test_a_successful_trial_clears_the_call(self):
        request_id = self.tried()
        self.entry.answer(request_id)
        (succeeded,) = self.entry.dispatched(quarantine.Succeeded)
        self.entry.quarantine.handle(succeeded)
        self.arrive()
        self.assertEqual(1, len(self.entry.sent(cells.Book)))

    def test_a_crash_during_a_trial_is_reported_as_such(self):
        request_id = self.tried()
        self.entry.answer(
            request_id,
            failure=RETRY.STREAM_BROKEN,
            known=MAY_HAVE_RUN,
            is_cut=True,
        )
        # It is sent to no other backend server.
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)
        self.entry.post(
            events.BackendProbed,
            start=presence.BackendStart(backend_id='s1', incarnation=0),
            is_refused=True,
        )
        (ended,) = self.entry.dispatched(quarantine.Ended)
        self.assertTrue(ended.is_trial)

    def test_a_repeated_quarantine_does_not_stop_a_trial(self):
        self.hold(60.0)
        request_id = self.arrive()
        self.answer(request_id, is_granted=True)
        call = entry_fake.call(**self.call())
        stopped = self.entry.requests.stop_quarantined(
            self.entry.now, self.entry.quarantine_check.fingerprint(call)
        )
        self.assertEqual([], stopped)

    def test_a_trial_of_a_stream_is_decoded(self):
        request_id = self.tried(path='/model/x')
        self.entry.prefill(request_id, known=NOT_RUN)
        self.assertEqual(1, len(self.entry.found(effects.RunDecode)))
