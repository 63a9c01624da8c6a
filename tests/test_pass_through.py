"""Calls that are forwarded unchanged: what counts as a run of them."""

import json
import unittest

from nose2.tools import params

from dandeliongw.cell import cells
from dandeliongw import document
from dandeliongw import effects
from dandeliongw.entry import attempts
from dandeliongw import verdict
from tests import entry_fake
from tests import test_hosts
from tools import local

REASON = verdict.RefusalReason
RETRY = verdict.RetryReason
NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


def described(**changes):
    """Return the example document with a plain and a model host route."""
    fields = local.example_document()
    priority = fields['priorities'][0]['name']
    services = {'/plain/': 'studio-portal', '/model/': 'dieline-llm'}
    fields['host_routes'] = [
        test_hosts.make_route(
            name=prefix.strip('/'),
            prefix=prefix,
            targets=[{'service': service}],
            priority=priority,
            timeout_s=14.0,
            patience_s=3.6,
            **changes,
        )
        for prefix, service in services.items()
    ]
    return document.parse_document(json.dumps(fields).encode())


class TargetTest(unittest.TestCase):
    """Guards against one target for all routes of a service."""

    def test_a_booking_has_the_target_of_its_route(self):
        entry = entry_fake.Entry()
        entry.directory.document = described(target_s=2.0)
        entry.arrive('completion', host='a.example', path='/model/x')
        ((_, book),) = entry.sent(cells.Book)
        self.assertEqual(book.target_s, 2.0)


class PassedOn(unittest.TestCase):
    """Base class: an entry whose document has host routes.

    :cvar route: fields of the routes that differ from the default.
    """

    route: dict = {}

    def setUp(self):
        self.entry = entry_fake.Entry()
        self.entry.directory.document = described(**self.route)

    def arrive(self, path, **changes):
        fields = {
            'host': 'a.example',
            'path': path,
            'deadline_s': 14.0,
            **changes,
        }
        return self.entry.arrive('completion', **fields)

    def prefilled(self, **changes):
        """Return the id of a call whose prefill has ended."""
        request_id = self.arrive('/model/x', **changes)
        self.entry.book(request_id)
        self.entry.prefill(request_id, known=NOT_RUN)
        return request_id


class RouteTest(PassedOn):
    def test_the_path_chooses_the_service(self):
        self.arrive('/plain/x')
        ((_, book),) = self.entry.sent(cells.Book)
        self.assertEqual(book.stage.value, 'plain')
        self.arrive('/model/x')
        ((_, book),) = self.entry.sent(cells.Book)
        self.assertEqual(book.stage.value, 'pair')
        self.assertAlmostEqual(book.deadline_s, 3.6)

    @params(('a.example', '/other/'), ('b.example', '/model/'))
    def test_no_route(self, host, path):
        self.arrive(path, host=host)
        self.assertEqual(self.entry.refusal.reason, REASON.UNKNOWN_ROUTE)

    def test_an_instance_without_routes_refuses_with_a_retry_time(self):
        """Guards against a final "no such route" while an instance starts.

        A call may arrive before the instance has a configuration. Having no
        routes yet must not be taken for a document without the route.
        """
        self.entry.directory.document = document.EMPTY
        self.arrive('/model/x')
        refusal = self.entry.refusal
        self.assertEqual(refusal.reason, REASON.CONFIGURATION_STALE)
        self.assertIsNotNone(refusal.retry_after_s)

    @params((14.0, False), (9.0, True), (None, False))
    def test_a_short_deadline_marks_a_resend(self, deadline_s, resent):
        self.arrive('/model/x', deadline_s=deadline_s)
        ((_, book),) = self.entry.sent(cells.Book)
        self.assertEqual(book.resent, resent)


class UnusableAnswerTest(PassedOn):
    """Guards against a server that fails fast, and so gets the next call."""

    def test_its_answer_counts_against_it(self):
        request_id = self.arrive('/plain/x')
        self.entry.book(request_id)
        self.entry.answer(request_id, failure=RETRY.STREAM_BROKEN)
        ((_, release),) = self.entry.sent(cells.Release)
        self.assertEqual('s1', release.backend_fault)


class OnceTest(PassedOn):
    """A call that may run once at most."""

    route = {'repeat': 'never', 'max_runs': 3}

    def test_a_prefill_is_not_a_run(self):
        """Guards against "may have run" for a call that has not run.

        The prefill succeeds, the decode engine refuses the call, and there
        is no other engine. The prefill alone must not count as a run.
        """
        request_id = self.prefilled()
        self.entry.decode(
            request_id, failure=RETRY.BACKEND_BUSY, known=NOT_RUN
        )
        ((_, book),) = self.entry.sent(cells.Book)
        self.assertEqual(book.stage.value, 'decode')
        self.entry.tick(3.7)
        self.entry.tick(20.0)
        self.assertEqual(self.entry.refusal.verdict, NOT_RUN)

    def test_a_disconnect_during_the_prefill(self):
        request_id = self.arrive('/model/x')
        self.entry.book(request_id)
        self.entry.leave(request_id)
        self.assertEqual(self.entry.refusal.verdict, NOT_RUN)

    @params(RETRY.STREAM_BROKEN, RETRY.STREAM_STALLED, RETRY.IMPORT_REFUSED)
    def test_a_stream_that_may_have_run_is_not_sent_again(self, failure):
        """Guards against a quote that is billed twice.

        A decode engine accepts the call and stops responding. Other streams
        may resume on any engine, as they run once. But each send of a call
        that is forwarded unchanged is a run.
        """
        request_id = self.prefilled()
        self.entry.decode(request_id, failure=failure, known=MAY_HAVE_RUN)
        self.assertEqual(self.entry.found(effects.RunDecode), [])
        self.assertEqual(self.entry.sent(cells.Book), [])
        self.assertEqual(self.entry.refusal.verdict, MAY_HAVE_RUN)


class ResumeTest(PassedOn):
    """A stream that may continue on another engine."""

    route = {'repeat': 'resume', 'max_runs': 2}

    def test_a_stream_runs_on_at_most_max_runs_backend_servers(self):
        request_id = self.prefilled()
        broken = {'failure': RETRY.CONNECT_REFUSED, 'known': MAY_HAVE_RUN}
        self.entry.decode(request_id, **broken)
        self.entry.book(request_id, decode_id='d2')
        self.entry.decode(request_id, **broken)
        self.assertEqual(self.entry.sent(cells.Book), [])
        self.assertEqual(self.entry.refusal.reason, REASON.RETRIES_SPENT)

    def test_refused_sends_are_not_runs(self):
        request_id = self.prefilled()
        for _ in range(attempts.MAX_ATTEMPTS - 1):
            self.entry.decode(
                request_id, failure=RETRY.BACKEND_BUSY, known=NOT_RUN
            )
            self.assertEqual(len(self.entry.sent(cells.Book)), 1)
            self.entry.book(request_id, decode_id=f'd{self.entry.now}')
            self.entry.now += 0.01

    def test_without_a_prefill_engine_the_decode_engine_prefills(self):
        request_id = self.arrive('/model/x')
        self.entry.book(request_id, prefill_id='', prefill_url='')
        run = self.entry.one(effects.RunDecode)
        self.assertTrue(run.reads)
        self.assertEqual(run.kv, '')
        self.entry.decode(request_id)
        self.assertEqual(len(self.entry.found(effects.Complete)), 1)

    def test_an_engine_that_is_down_is_reported_to_its_owner(self):
        request_id = self.arrive('/model/x')
        self.entry.book(request_id)
        self.entry.prefill(
            request_id, failure=RETRY.CONNECT_REFUSED, known=NOT_RUN
        )
        ((_, release),) = self.entry.sent(cells.Release)
        self.assertEqual(
            (release.backend_fault, release.is_down), ('p1', True)
        )
