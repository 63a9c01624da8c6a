"""Admission control at the entry, before a cell's owner is involved."""

import unittest

from nose2.tools import params

from dandeliongw.entry import account_check
from dandeliongw.entry import admission
from dandeliongw import verdict
from tests import entry_fake
from tests import test_pass_through

REASON = verdict.RefusalReason
NOT_RUN = verdict.Verdict.NOT_RUN


def make_gate(directory, max_requests=5):
    return admission.Admission(
        directory=directory,
        account_check=account_check.AccountCheck(
            directory=directory, max_proof_age_s=None
        ),
        max_requests=max_requests,
        max_streams=3,
    )


class Limits(unittest.TestCase):
    def setUp(self):
        self.gate = make_gate(entry_fake.Directory())

    def check(self, kind='lookup', now=100.0, **changes):
        result = self.gate.check(now, entry_fake.call(kind, **changes))
        is_refusal = isinstance(result, verdict.Refusal)
        return result.reason if is_refusal else None

    def test_streams_leave_threads_for_lookups(self):
        """Guards against lookups that are blocked by long prompts.

        With a single limit for all calls, streams could take all threads.
        """
        for _ in range(3):
            self.gate.enter('studio-1', True)
        self.assertEqual(self.check('completion'), REASON.INSTANCE_FULL)
        self.assertIsNone(self.check('lookup'))
        for _ in range(2):
            self.gate.enter('studio-1', False)
        self.assertEqual(self.check('lookup'), REASON.INSTANCE_FULL)
        self.gate.leave('studio-1', True)
        self.assertIsNone(self.check('completion'))

    @params(
        ({'key_sha256': ''}, REASON.UNKNOWN_ACCOUNT),
        ({'service': 'nothing'}, REASON.UNKNOWN_SERVICE),
        ({'service': 'dieline-llm'}, REASON.BAD_REQUEST),
        ({'path': '/nothing'}, REASON.UNKNOWN_ROUTE),
        ({'method': 'DELETE'}, REASON.UNKNOWN_ROUTE),
        ({'priority': 'no such'}, REASON.BAD_REQUEST),
    )
    def test_calls_that_the_document_does_not_allow(self, changes, reason):
        self.assertEqual(self.check(**changes), reason)

    def test_requests_in_flight_are_limited_at_each_entry(self):
        """Each entry applies the limit without the counts of the others."""
        account = entry_fake.Directory().document.accounts[0]
        other, self.gate = (
            make_gate(
                entry_fake.Directory(), max_requests=2 * account.max_in_flight
            )
            for _ in range(2)
        )
        for _ in range(account.max_in_flight):
            self.assertIsNone(self.check())
            self.gate.enter(account.name, False)
        self.assertEqual(self.check(), REASON.ACCOUNT_LIMIT)
        admitted = other.check(100.0, entry_fake.call())
        self.assertIsInstance(admitted, admission.Admitted)


class UnconfirmedTest(unittest.TestCase):
    """Guards against a 404 for a route that was added 2.5 s before.

    An entry without contact to a majority goes on with its last document, so
    that calls are served while all voters are unreachable. Refusals for what
    that document lacks must be retryable, because clients take "no such
    route" or "no such account" as final.
    """

    def setUp(self):
        self.directory = entry_fake.Directory()
        self.directory.document = test_pass_through.described()
        self.directory.confirmed = False
        self.gate = make_gate(self.directory)

    def check(self, **changes):
        return self.gate.check(100.0, entry_fake.call(**changes))

    def test_refusals_under_an_unconfirmed_document_are_retryable(self):
        """Under a confirmed document, these are 404, 401, 403 or 400."""
        refusals = [
            self.check(**changes)
            for changes in (
                {'host': 'a.example', 'path': '/new/x'},
                {'key_sha256': ''},
                {'service': 'nothing'},
                {'service': 'dieline-llm'},
                {'path': '/nothing'},
                {'priority': 'no such'},
            )
        ]
        stale = (
            REASON.CONFIGURATION_STALE,
            NOT_RUN,
            admission.TRANSIENT_RETRY_S,
        )
        self.assertEqual(
            [stale] * 6,
            [
                (each.reason, each.verdict, each.retry_after_s)
                for each in refusals
            ],
        )

    def test_calls_of_an_unconfirmed_document_are_admitted(self):
        admitted = self.check(host='a.example', path='/plain/x')
        self.assertIsInstance(admitted, admission.Admitted)

    def test_the_refusal_has_the_age_of_the_document(self):
        self.assertIn(
            'revision 1, number 1, confirmed 9.00 s ago',
            self.check(host='a.example', path='/new/x').message,
        )
