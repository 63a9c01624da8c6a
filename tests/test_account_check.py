"""Under which account a call is admitted, and for how long its key holds."""

import json
import unittest

from nose2.tools import params

from dandeliongw.cell import cells
from dandeliongw.coordination import rates
from dandeliongw import document
from dandeliongw import effects
from dandeliongw.entry import charges
from dandeliongw import events
from dandeliongw import settings
from dandeliongw import verdict
from tests import entry_fake
from tests import test_pass_through
from tools import local

REASON = verdict.RefusalReason
NOT_RUN = verdict.Verdict.NOT_RUN
KEY = local.sha256('key-1')
OTHER_KEY = local.sha256('key-2')
#: Seconds of a confirmation with which keys still hold.
PROOF_S = 4.0


def described(*keys, rate=None, **changes):
    """Return a document whose account by host has these keys."""
    fields = json.loads(
        document.document_bytes(test_pass_through.described(**changes))
    )
    fields['host_calls_need_key'] = True
    fields['accounts'].append(
        {'name': 'tenant-1', 'more_keys_sha256': list(keys)}
    )
    if rate is not None:
        fields['accounts'][-1]['rate'] = rate
    return document.parse_document(json.dumps(fields).encode())


class KeyedEntry(unittest.TestCase):
    """Base class: an entry whose calls by host need a key."""

    def setUp(self):
        self.entry = entry_fake.Entry(max_proof_age_s=PROOF_S)
        self.directory = self.entry.directory
        self.directory.document = described(KEY)

    def arrive(self, key=KEY, path='/plain/x', **changes):
        return self.entry.arrive(
            'completion',
            host='a.example',
            path=path,
            key_sha256=key,
            deadline_s=14.0,
            **changes,
        )

    def refused(self):
        refusal = self.entry.refusal
        return refusal.reason, refusal.verdict


class AccountTest(KeyedEntry):
    def test_backend_servers_are_told_the_account(self):
        request_id = self.arrive()
        self.entry.book(request_id)
        run = self.entry.one(effects.RunCall)
        self.assertEqual(run.told_account, 'tenant-1')

    def test_each_step_of_a_stream_tells_the_account(self):
        request_id = self.arrive(path='/model/x')
        self.entry.book(request_id)
        told = [self.entry.one(effects.RunPrefill).told_account]
        self.entry.prefill(request_id, known=NOT_RUN)
        told.append(self.entry.one(effects.RunDecode).told_account)
        self.assertEqual(told, ['tenant-1'] * 2)

    @params('', OTHER_KEY)
    def test_a_call_without_a_known_key_is_refused(self, key):
        self.arrive(key)
        self.assertEqual(self.refused(), (REASON.UNKNOWN_ACCOUNT, NOT_RUN))
        self.assertIsNone(self.entry.refusal.retry_after_s)

    @params('', OTHER_KEY)
    def test_an_unknown_key_is_not_final_without_confirmation(self, key):
        """Guards against a 401 for a key that has just been added."""
        self.directory.confirmed = False
        self.arrive(key)
        self.assertEqual(self.refused(), (REASON.CONFIGURATION_STALE, NOT_RUN))
        self.assertIsNotNone(self.entry.refusal.retry_after_s)

    @params(('', ''), (KEY, 'tenant-1'))
    def test_a_route_for_anonymous_calls(self, key, told):
        self.directory.document = described(KEY, allows_anonymous=True)
        self.entry.book(self.arrive(key))
        run = self.entry.one(effects.RunCall)
        self.assertEqual(run.told_account, told)

    def test_an_unknown_key_is_refused_where_none_is_needed(self):
        self.directory.document = described(KEY, allows_anonymous=True)
        self.arrive(OTHER_KEY)
        self.assertEqual(self.refused(), (REASON.UNKNOWN_ACCOUNT, NOT_RUN))

    def test_headers_are_forwarded_where_no_key_is_needed(self):
        self.directory.document = test_pass_through.described()
        self.entry.book(self.arrive(OTHER_KEY))
        self.assertIsNone(self.entry.one(effects.RunCall).told_account)

    def test_the_accounts_priority_goes_before_the_routes(self):
        fields = json.loads(document.document_bytes(described(KEY)))
        names = [each['name'] for each in fields['priorities']]
        fields['accounts'][-1]['priority'] = names[1]
        self.assertEqual(fields['host_routes'][0]['priority'], names[0])
        self.directory.document = document.parse_document(
            json.dumps(fields).encode()
        )
        self.arrive()
        ((_, book),) = self.entry.sent(cells.Book)
        self.assertEqual((book.priority, book.account), (names[1], 'tenant-1'))


class RevokedKeyTest(KeyedEntry):
    """Guards against a call that runs after its key was taken away.

    An entry that is cut off, was frozen or has just started does not hear of
    the change. So a key holds only as long as the document was known to be
    the latest a short time ago.
    """

    def lapse(self):
        self.directory.confirmed = False

    def take_key_away(self):
        self.directory.document = described(OTHER_KEY)

    def test_a_key_holds_only_with_recent_proof(self):
        self.lapse()
        self.arrive()
        self.assertEqual(self.refused(), (REASON.CONFIGURATION_STALE, NOT_RUN))
        self.assertIsNotNone(self.entry.refusal.retry_after_s)

    def test_a_document_that_was_never_confirmed_proves_nothing(self):
        """As one learned from another entry by an instance that restarted."""
        self.lapse()
        self.directory.lapsed_age_s = None
        self.arrive()
        self.assertEqual(self.refused(), (REASON.CONFIGURATION_STALE, NOT_RUN))

    def test_proof_holds_until_the_bound(self):
        self.lapse()
        self.directory.lapsed_age_s = PROOF_S - 0.001
        self.arrive()
        self.assertTrue(self.entry.sent(cells.Book))
        self.directory.lapsed_age_s = PROOF_S
        self.arrive()
        self.assertEqual(self.refused(), (REASON.CONFIGURATION_STALE, NOT_RUN))

    def test_anonymous_calls_need_no_proof(self):
        self.directory.document = described(KEY, allows_anonymous=True)
        self.lapse()
        self.arrive('')
        self.assertTrue(self.entry.sent(cells.Book))

    @params('lapse', 'take_key_away')
    def test_checked_again_before_a_call_that_waited_is_sent(self, change):
        request_id = self.arrive()
        self.entry.receive(
            cells.Queued(
                **self.entry.ids_of(request_id), epoch=1, expected_in_s=0.1
            )
        )
        getattr(self, change)()
        self.entry.book(request_id)
        self.assertEqual(self.entry.found(effects.RunCall), [])
        self.assertEqual(self.refused()[1], NOT_RUN)
        ((_, release),) = self.entry.sent(cells.Release)
        self.assertEqual(release.request_id, request_id)

    @params('lapse', 'take_key_away')
    def test_checked_again_before_decoding(self, change):
        request_id = self.arrive(path='/model/x')
        self.entry.book(request_id)
        getattr(self, change)()
        self.entry.prefill(request_id, known=NOT_RUN)
        self.assertEqual(self.entry.found(effects.RunDecode), [])
        self.assertEqual(self.refused()[1], NOT_RUN)

    @params('lapse', 'take_key_away')
    def test_checked_again_before_a_retry(self, change):
        self.directory.document = described(KEY, repeat='always', max_runs=3)
        request_id = self.arrive()
        self.entry.book(request_id)
        if change == 'take_key_away':
            self.directory.document = described(
                OTHER_KEY, repeat='always', max_runs=3
            )
        else:
            self.lapse()
        self.entry.answer(
            request_id,
            verdict.RetryReason.CONNECT_REFUSED,
            known=verdict.Verdict.MAY_HAVE_RUN,
        )
        self.assertEqual(self.entry.sent(cells.Book), [])
        self.assertEqual(
            self.entry.refusal.verdict, verdict.Verdict.MAY_HAVE_RUN
        )


class KeysNeededLaterTest(KeyedEntry):
    """Guards against calls sent as before once a document needs keys.

    They were admitted under a document that needed none, with the headers
    that their callers gave, which may name another account.
    """

    def setUp(self):
        super().setUp()
        self.directory.document = test_pass_through.described()

    def need_keys(self, *keys, **changes):
        self.directory.document = described(*keys, **changes)

    def told(self, directive):
        return self.entry.one(directive).told_account

    def test_a_call_with_a_known_key_is_sent_under_its_account(self):
        request_id = self.arrive()
        self.need_keys(KEY)
        self.entry.book(request_id)
        self.assertEqual(self.told(effects.RunCall), 'tenant-1')

    @params('', OTHER_KEY)
    def test_a_call_without_a_known_key_is_not_sent(self, key):
        request_id = self.arrive(key)
        self.need_keys(KEY)
        self.entry.book(request_id)
        self.assertEqual(self.entry.found(effects.RunCall), [])
        self.assertEqual(self.refused(), (REASON.UNKNOWN_ACCOUNT, NOT_RUN))

    def test_a_call_without_a_key_on_a_route_that_allows_it(self):
        request_id = self.arrive('')
        self.need_keys(KEY, allows_anonymous=True)
        self.entry.book(request_id)
        self.assertEqual(self.told(effects.RunCall), '')

    def test_a_call_with_a_known_key_needs_recent_proof(self):
        request_id = self.arrive()
        self.need_keys(KEY)
        self.directory.confirmed = False
        self.entry.book(request_id)
        self.assertEqual(self.entry.found(effects.RunCall), [])
        self.assertEqual(self.refused(), (REASON.CONFIGURATION_STALE, NOT_RUN))

    def test_the_second_step_of_a_stream_tells_the_account(self):
        request_id = self.arrive(path='/model/x')
        self.entry.book(request_id)
        self.assertIsNone(self.told(effects.RunPrefill))
        self.need_keys(KEY)
        self.entry.prefill(request_id, known=NOT_RUN)
        self.assertEqual(self.told(effects.RunDecode), 'tenant-1')

    def test_a_retry_tells_the_account(self):
        self.directory.document = test_pass_through.described(
            repeat='always', max_runs=3
        )
        request_id = self.arrive()
        self.entry.book(request_id)
        self.need_keys(KEY, repeat='always', max_runs=3)
        self.entry.answer(
            request_id,
            verdict.RetryReason.CONNECT_REFUSED,
            known=verdict.Verdict.MAY_HAVE_RUN,
        )
        self.entry.book(request_id)
        told = [run.told_account for run in self.entry.found(effects.RunCall)]
        self.assertEqual(told[-1], 'tenant-1')

    def test_keys_that_are_no_longer_needed(self):
        """Guards against a final refusal that no document asks for."""
        self.need_keys(KEY)
        request_id = self.arrive()
        self.directory.document = test_pass_through.described()
        self.entry.book(request_id)
        self.assertEqual(self.told(effects.RunCall), 'tenant-1')


class ChargeTest(KeyedEntry):
    """What a request is charged, and when it gets that back."""

    rate = {'per_s': 100.0, 'burst': 100.0, 'unit': 'tokens'}

    def setUp(self):
        super().setUp()
        self.directory.document = described(
            KEY, rate={**self.rate, 'plain_tokens': 7}
        )

    def test_prompt_and_longest_answer_are_charged(self):
        self.arrive(prompt_tokens=30, max_tokens=12)
        ((charge,)) = self.entry.charges
        self.assertEqual((charge.account, charge.amount), ('tenant-1', 42.0))

    def test_a_call_without_a_count(self):
        self.arrive(prompt_tokens=0, max_tokens=0)
        self.assertEqual(self.entry.charges[0].amount, 7.0)

    def test_over_the_rate(self):
        """Guards against a refusal that does not say when to come back."""
        self.arrive(prompt_tokens=300)
        self.arrive(prompt_tokens=1)
        refusal = self.entry.refusal
        self.assertEqual(self.refused(), (REASON.ACCOUNT_LIMIT, NOT_RUN))
        self.assertIn('100 tokens a second', refusal.message)
        self.entry.now += refusal.retry_after_s + 0.001
        self.arrive(prompt_tokens=1)
        self.assertTrue(self.entry.sent(cells.Book))

    def test_a_refused_request_gets_its_charge_back(self):
        request_id = self.arrive(prompt_tokens=300)
        self.entry.receive(
            cells.Declined(
                **self.entry.ids_of(request_id),
                reason='no_capacity',
                message='full',
                retry_after_s=1.0,
            )
        )
        self.assertEqual(self.refused()[1], NOT_RUN)
        refund = self.entry.charges[-1]
        self.assertIsInstance(refund, rates.Refund)
        self.assertEqual(refund.amount, 310.0)
        self.arrive(prompt_tokens=1)
        self.assertTrue(self.entry.sent(cells.Book))

    def test_a_repeat_is_recognised_at_any_entry(self):
        """Guards against a promise that its caller can't redeem."""
        for path in ('/plain/x', '/plain/x', '/plain/y'):
            self.arrive(prompt_tokens=30, digest=path.encode())
        first, repeat, other = (each.caller for each in self.entry.charges)
        self.assertEqual(first, repeat)
        self.assertNotEqual(first, other)

    def test_a_refund_names_the_interval_of_its_charge(self):
        """Guards against a refund that makes room for too long."""
        request_id = self.arrive(prompt_tokens=30)
        request = self.entry.requests.requests_by_id[request_id]
        granted = rates.ChargeResult(
            is_granted=True, granted_by='gw-1', granted_in=7, used_in=8
        )
        charges.answered(request, granted)
        (out,) = charges.refund(self.entry.now, request, NOT_RUN)
        self.assertEqual((out.event.granted_in, out.event.used_in), (7, 8))
        self.assertEqual(charges.refund(self.entry.now, request, NOT_RUN), [])

    def test_limits_have_the_window_of_the_settings(self):
        tolerance = settings.RateTolerance(window_s=8.0)
        limits = charges.limits_of(self.directory.document, tolerance)
        self.assertEqual({limit.window_s for limit in limits}, {8.0})

    def test_a_request_that_may_have_run_stays_charged(self):
        request_id = self.arrive(prompt_tokens=300)
        self.entry.book(request_id)
        self.entry.answer(
            request_id,
            verdict.RetryReason.CONNECT_REFUSED,
            known=verdict.Verdict.MAY_HAVE_RUN,
        )
        self.assertEqual(len(self.entry.charges), 1)

    def test_a_caller_that_leaves_while_it_is_charged(self):
        """Guards against a charge for a request that was never sent."""
        event = events.RequestArrived(
            now=self.entry.now,
            request_id='r',
            call=entry_fake.call(
                host='a.example', path='/plain/x', key_sha256=KEY
            ),
            entropy=0,
        )
        # The charge is not answered yet.
        self.entry.requests.handle(event)
        self.entry.leave('r')
        granted = rates.ChargeResult(is_granted=True, granted_by='gw-0')
        out = self.entry.requests.charge_answered(100.0, 'r', granted)
        self.assertIsInstance(out[0].event, rates.Refund)
