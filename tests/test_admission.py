"""Who may have what served, before any owner is asked."""

import unittest

from nose2.tools import params

from dandeliongw.entry import admission
from dandeliongw import verdict
from tests import entry_fake

REASON = verdict.RefusalReason


class Limits(unittest.TestCase):
    def setUp(self):
        self.gate = admission.Admission(
            directory=entry_fake.Directory(), max_requests=5, max_streams=3
        )

    def check(self, kind='lookup', now=100.0, **changes):
        result = self.gate.check(now, entry_fake.call(kind, **changes))
        is_refusal = isinstance(result, verdict.Refusal)
        return result.reason if is_refusal else None

    def test_streams_never_take_the_threads_of_lookups(self):
        """Symptom: press operators stall at the job board.

        Sequence: as many long prompts come in as the instance takes.
        Cause: one limit for all.
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
    def test_what_is_not_in_the_document(self, changes, reason):
        self.assertEqual(self.check(**changes), reason)

    def test_an_account_that_sends_too_fast_is_told_when(self):
        refused = None
        while refused is None or not isinstance(refused, verdict.Refusal):
            refused = self.gate.check(100.0, entry_fake.call())
        self.assertEqual(refused.reason, REASON.ACCOUNT_LIMIT)
        self.assertAlmostEqual(refused.retry_after_s, 0.01)
        self.assertIsNone(self.check(now=100.0 + refused.retry_after_s))
