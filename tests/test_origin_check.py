"""Requests at an entry that are bound to the version of their stream."""

import json
import unittest

from nose2.tools import params

from dandeliongw.cell import cells
from dandeliongw.coordination import origins
from dandeliongw import document
from dandeliongw import effects
from dandeliongw import verdict
from tests import test_pass_through

REASON = verdict.RefusalReason
RETRY = verdict.RetryReason
NOT_RUN = verdict.Verdict.NOT_RUN
KEPT = origins.KeepResult.KEPT
LATE = origins.KeepResult.LATE


def origin(version='v1', service='dieline-llm'):
    return origins.StreamOrigin(service=service, software_version=version)


class StreamTest(test_pass_through.PassedOn):
    """Base class: streams whose callers may take them up again."""

    route = {'repeat': 'resume', 'max_runs': 4}

    def begin(self, **changes):
        """Return the id of a new stream that is booked at v1."""
        request_id = self.arrive('/model/x', caller_id='c1', **changes)
        self.entry.book(request_id, decode_version='v1')
        return request_id

    def take_up(self, resumes='c1', account=''):
        return self.arrive(
            '/model/x', caller_id='c2', resumes=resumes, pieces_received=3
        )

    def found(self, request_id, result):
        return self.entry.take(
            self.entry.requests.origin_found(
                self.entry.now, request_id, result
            )
        )

    def kept(self, request_id, result=KEPT):
        return self.entry.take(
            self.entry.requests.origin_kept(self.entry.now, request_id, result)
        )

    @property
    def booked(self):
        ((_, book),) = self.entry.sent(cells.Book)
        return book


class BeginTest(StreamTest):
    """Guards against streams that begin before others know their version."""

    def test_it_is_kept_while_the_prompt_is_read(self):
        self.begin()
        (keep,) = self.entry.dispatched(origins.Keep)
        self.assertEqual(origin(), keep.origin)
        self.assertGreaterEqual(keep.keep_s, 60.0)
        self.assertTrue(self.entry.found(effects.RunPrefill))

    @params((None, True), (KEPT, False), (LATE, False))
    def test_the_answer_is_held_until_it_is_kept(self, result, is_held):
        request_id = self.begin()
        if result is not None:
            self.kept(request_id, result)
            self.entry.one(effects.AllowAnswer)
        self.entry.prefill(request_id, known=NOT_RUN)
        run = self.entry.one(effects.RunDecode)
        self.assertEqual(is_held, run.holds_answer)

    def test_an_id_that_has_begun_another_stream(self):
        request_id = self.begin()
        self.kept(request_id, origins.KeepResult.TAKEN)
        self.assertEqual(NOT_RUN, self.entry.refusal.verdict)
        self.entry.one(effects.Abort)

    def test_a_stream_that_cannot_be_taken_up_is_not_kept(self):
        self.entry.directory.document = test_pass_through.described(
            repeat='never', max_runs=1
        )
        self.begin()
        self.assertEqual([], self.entry.dispatched(origins.Keep))


class BoundTest(StreamTest):
    """Guards against one answer with pieces of two versions."""

    def test_any_version_may_begin(self):
        self.arrive('/model/x')
        self.assertIsNone(self.booked.software_version)

    def test_another_attempt_is_booked_at_its_version(self):
        request_id = self.begin()
        self.entry.prefill(request_id, known=NOT_RUN)
        self.entry.decode(request_id, failure=RETRY.STREAM_BROKEN, tokens=0)
        self.entry.decode(request_id, failure=RETRY.STREAM_BROKEN, tokens=0)
        self.assertEqual('v1', self.booked.software_version)

    def test_a_moved_kv_cache_stays_at_its_version(self):
        request_id = self.begin()
        self.entry.prefill(request_id, known=NOT_RUN)
        self.entry.decode(
            request_id, failure=RETRY.BACKEND_BUSY, known=NOT_RUN, tokens=0
        )
        self.assertEqual('decode', self.booked.stage.value)
        self.assertEqual('v1', self.booked.software_version)

    def test_an_owner_that_books_another_version_is_asked_again(self):
        request_id = self.begin()
        self.entry.prefill(request_id, known=NOT_RUN)
        self.entry.decode(
            request_id, failure=RETRY.BACKEND_BUSY, known=NOT_RUN, tokens=0
        )
        self.entry.book(request_id, decode_id='d2', decode_version='v2')
        self.assertEqual([], self.entry.found(effects.RunDecode))
        self.assertEqual(('d1', 'd2'), self.booked.exclude)

    def test_an_owner_that_books_only_others_is_given_up(self):
        request_id = self.take_up()
        self.found(request_id, origin())
        for number in range(4):
            self.entry.book(
                request_id, decode_id=f'd{number}', decode_version='v2'
            )
        self.assertEqual(NOT_RUN, self.entry.refusal.verdict)


class TakeUpTest(StreamTest):
    """Guards against streams that go on at another version elsewhere."""

    def test_it_is_looked_up_before_it_is_booked(self):
        request_id = self.take_up()
        self.assertEqual([], self.entry.sent(cells.Book))
        self.found(request_id, origin())
        self.assertEqual('v1', self.booked.software_version)

    def test_a_stream_has_one_key_at_all_entries(self):
        self.begin()
        (keep,) = self.entry.dispatched(origins.Keep)
        self.take_up()
        (look_up,) = self.entry.dispatched(origins.LookUp)
        self.assertEqual(keep.stream_key, look_up.stream_key)

    def test_what_goes_on_is_not_kept_anew(self):
        request_id = self.take_up()
        self.found(request_id, origin())
        self.entry.book(request_id, decode_version='v1')
        self.assertEqual([], self.entry.dispatched(origins.Keep))
        self.assertTrue(self.entry.found(effects.RunPrefill))

    @params(*origins.LookUpFailure)
    def test_what_is_not_known_is_refused_at_once(self, failure):
        request_id = self.take_up()
        self.found(request_id, failure)
        refusal = self.entry.refusal
        self.assertEqual(REASON.STREAM_UNKNOWN, refusal.reason)
        self.assertEqual(NOT_RUN, refusal.verdict)
        self.assertIsNotNone(refusal.retry_after_s)

    def test_an_answer_for_a_caller_who_has_left(self):
        request_id = self.take_up()
        self.entry.leave(request_id)
        self.assertEqual([], self.found(request_id, origin()))

    def test_a_service_to_which_its_route_no_longer_leads(self):
        request_id = self.take_up()
        self.found(request_id, origin(service='studio-portal'))
        self.assertEqual(REASON.STREAM_UNKNOWN, self.entry.refusal.reason)

    def test_a_caller_that_names_no_call(self):
        """Guards against a stream that goes on at a version that is new.

        Who serves now doesn't tell what began it.
        """
        request_id = self.take_up(resumes='')
        self.assertEqual([], self.entry.sent(cells.Book))
        self.assertEqual([], self.entry.dispatched(origins.LookUp))
        (look_up,) = self.entry.dispatched(origins.LookUpSole)
        self.assertEqual(('dieline-llm',), look_up.services)
        self.found(request_id, origin())
        self.assertEqual('v1', self.booked.software_version)
        self.assertTrue(self.booked.needs_sole_version)


class SplitRouteTest(StreamTest):
    """Guards against a weight that moves a stream to another service."""

    def setUp(self):
        super().setUp()
        fields = test_pass_through.described(**self.route).model_dump(
            mode='json'
        )
        (first,) = [
            each
            for each in fields['services']
            if each['name'] == 'dieline-llm'
        ]
        fields['services'].append({**first, 'name': 'other-llm'})
        fields['pools'] += [
            {**each, 'name': f'other-{each["name"]}', 'service': 'other-llm'}
            for each in fields['pools']
            if each['service'] == 'dieline-llm'
        ]
        (model,) = [
            each
            for each in fields['host_routes']
            if each['path_prefix'] == '/model/'
        ]
        model['targets'].append({'service': 'other-llm', 'weight': 0})
        self.entry.directory.document = document.parse_document(
            json.dumps(fields).encode()
        )

    def test_it_goes_on_at_the_service_that_began_it(self):
        request_id = self.take_up()
        request = self.entry.requests.requests_by_id[request_id]
        self.assertEqual('dieline-llm', request.service)
        self.found(request_id, origin(service='other-llm'))
        self.assertEqual('other-llm', request.service)
        self.assertEqual('v1', self.booked.software_version)

    def test_a_new_stream_goes_where_the_weights_say(self):
        request_id = self.begin()
        request = self.entry.requests.requests_by_id[request_id]
        self.assertEqual('dieline-llm', request.service)


if __name__ == '__main__':
    unittest.main()
