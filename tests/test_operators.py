"""The operators' API over HTTP, on a port that the system chooses."""

import io
import json
import unittest

from loguru import logger
from nose2.tools import params

from dandeliongw import logs
from tests import operators_fake

EMPTY = {'version': 1}
BEARER_ANA = {'Authorization': 'Bearer token-of-ana'}
JSON_ANA = BEARER_ANA | {'Content-Type': 'application/json'}


def change(**fields) -> bytes:
    base = {'document': EMPTY, 'expected_revision': 0, 'change_id': 'c-1'}
    return json.dumps(base | fields).encode()


class OperatorsTest(unittest.TestCase):
    def setUp(self):
        self.log = io.StringIO()
        logs.configure(
            instance_id='gw-1',
            data_centre='austin-a',
            level='DEBUG',
            stream=self.log,
        )
        self.addCleanup(logger.remove)
        self.api = self.enterContext(operators_fake.serving_api())

    def put(self, body: bytes, headers=JSON_ANA):
        return self.api.request(
            'PUT', '/v1/document', body=body, headers=headers
        )

    @params('document', 'status', 'backends', 'history', 'quarantine')
    def test_token_is_required(self, path):
        headers = {'Authorization': 'Bearer token-of-nobody'}
        for given in ({}, headers, {'Authorization': 'Basic token-of-ana'}):
            answer = self.api.request('GET', f'/v1/{path}', headers=given)
            self.assertEqual(401, answer.status)
            self.assertEqual('unauthorized', answer.json()['reason'])
        answer = self.api.request('GET', f'/v1/{path}', headers=BEARER_ANA)
        self.assertEqual(200, answer.status)

    def lift(
        self, call=operators_fake.QUARANTINED_CALL, reason='mended', **changes
    ):
        body = {'call': call, 'reason': reason, **changes}
        return self.api.request(
            'POST',
            '/v1/quarantine/lift',
            body=json.dumps(body).encode(),
            headers=JSON_ANA,
        )

    def test_lift_records_operator_and_reason(self):
        answer = self.lift()
        self.assertEqual(200, answer.status)
        self.assertEqual([('ana', 'mended')], self.api.control.lifts)
        found = self.api.request('GET', '/v1/quarantine', headers=BEARER_ANA)
        (call,) = found.json()['calls']
        self.assertEqual(0.0, call['held_s'])

    def test_lift_of_an_unknown_call_is_refused(self):
        answer = self.lift(call='0' * 32)
        self.assertEqual(404, answer.status)
        self.assertEqual('unknown_call', answer.json()['reason'])
        self.assertIn('0' * 32, answer.json()['message'])

    @params({'call': 'x'}, {'reason': ' '}, {'reason': 'x' * 201}, {'who': 1})
    def test_invalid_lift_is_refused(self, changes):
        answer = self.lift(**changes)
        self.assertEqual(400, answer.status)
        (problem,) = answer.json()['problems']
        self.assertEqual(next(iter(changes)), problem['path'])
        self.assertEqual([], self.api.control.lifts)

    def test_change_is_applied_and_read_back(self):
        answer = self.put(change())
        self.assertEqual({'revision': 1, 'repeated': False}, answer.json())
        found = self.api.request('GET', '/v1/document', headers=BEARER_ANA)
        self.assertEqual(1, found.json()['revision'])
        self.assertEqual('ana', found.json()['author'])
        self.assertEqual(1, found.json()['document']['version'])

    def test_content_type_may_have_a_charset(self):
        named = {'Content-Type': 'application/json; charset=utf-8'}
        answer = self.put(change(), headers=BEARER_ANA | named)
        self.assertEqual(200, answer.status)

    def test_retried_change_gets_its_first_result(self):
        """A retry must not undo a later change.

        A change is accepted and its answer is lost; another change follows;
        then the first one is retried. Applied as a new change, it would
        bring back the old document.
        """
        self.put(change())
        self.put(change(expected_revision=1, change_id='c-2'))
        answer = self.put(change())
        self.assertEqual({'revision': 1, 'repeated': True}, answer.json())
        self.assertEqual(2, self.api.control.current().revision)

    def test_conflict_returns_the_other_change(self):
        self.put(change())
        answer = self.put(change(change_id='c-2'))
        self.assertEqual(409, answer.status)
        self.assertEqual('conflict', answer.json()['reason'])
        self.assertEqual(1, answer.json()['revision'])
        self.assertEqual('ana', answer.json()['author'])
        self.assertEqual([], answer.json()['document']['services'])

    def test_change_id_of_another_change_is_refused(self):
        self.put(change())
        document = EMPTY | {
            'priorities': [{'name': 'urgent', 'rank': 0, 'max_wait_s': 1}]
        }
        answer = self.put(change(document=document))
        self.assertEqual(409, answer.status)
        self.assertEqual('change_id_reused', answer.json()['reason'])

    def test_lost_answer_is_not_reported_as_not_applied(self):
        self.api.control.answers_lost = True
        answer = self.put(change())
        self.assertEqual(503, answer.status)
        self.assertIn('may still take effect', answer.json()['message'])
        self.assertIn('same change id', answer.json()['message'])

    def test_document_is_unavailable_without_a_majority(self):
        self.api.control.cut_off = True
        answer = self.api.request('GET', '/v1/document', headers=BEARER_ANA)
        self.assertEqual(503, answer.status)

    @params(
        (b'{', 'bad_request', ''),
        (change(change_id='a b'), 'bad_request', 'change_id'),
        (change(expected_revision=-1), 'bad_request', 'expected_revision'),
        (change(document={'version': 2}), 'invalid_document', 'version'),
        (
            change(document=EMPTY | {'pools': [{}]}),
            'invalid_document',
            'pools[0].name',
        ),
    )
    def test_problems_name_the_path_of_the_field(self, body, reason, path):
        answer = self.put(body)
        self.assertEqual(400, answer.status)
        self.assertEqual(reason, answer.json()['reason'])
        self.assertEqual(path, answer.json()['problems'][0]['path'])
        self.assertEqual(0, self.api.control.current().revision)

    @params(
        ('PUT', '/v1/document', JSON_ANA, b' ' * (5 * 1024 * 1024), 413),
        ('PUT', '/v1/document', BEARER_ANA, b'{}', 415),
        ('POST', '/v1/document', JSON_ANA, b'{}', 405),
        ('GET', '/v1/nothing', BEARER_ANA, None, 404),
        ('GET', '/v1/status?x=1', BEARER_ANA, None, 400),
    )
    def test_unsupported_request_is_refused(
        self, method, path, headers, body, status
    ):
        answer = self.api.request(method, path, headers=headers, body=body)
        self.assertEqual(status, answer.status)
        self.assertIn('reason', answer.json())

    def test_metrics_need_no_token(self):
        answer = self.api.request('GET', '/metrics')
        self.assertEqual(200, answer.status)
        self.assertIn(b'dandeliongw_refusals_total', answer.data)

    def test_change_is_logged_without_the_token(self):
        self.put(change())
        (line,) = self.log.getvalue().splitlines()
        self.assertEqual('ana', json.loads(line)['operator'])
        self.assertEqual('Applied', json.loads(line)['result'])
        self.assertNotIn('token-of-ana', line)

    def test_internal_error_is_logged_but_not_shown(self):
        self.api.control.status = lambda: 1 / 0
        answer = self.api.request('GET', '/v1/status', headers=BEARER_ANA)
        self.assertEqual(500, answer.status)
        self.assertNotIn(b'division', answer.data)
        self.assertIn('division', self.log.getvalue())
        self.assertNotIn('token-of-ana', self.log.getvalue())
