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
        self.border = self.enterContext(operators_fake.border())

    def put(self, body: bytes, headers=JSON_ANA):
        return self.border.ask(
            'PUT', '/v1/document', body=body, headers=headers
        )

    @params('document', 'status', 'backends', 'history', 'quarantine')
    def test_no_answer_without_a_token(self, path):
        headers = {'Authorization': 'Bearer token-of-nobody'}
        for given in ({}, headers, {'Authorization': 'Basic token-of-ana'}):
            answer = self.border.ask('GET', f'/v1/{path}', headers=given)
            self.assertEqual(401, answer.status)
            self.assertEqual('unauthorized', answer.json()['reason'])
        answer = self.border.ask('GET', f'/v1/{path}', headers=BEARER_ANA)
        self.assertEqual(200, answer.status)

    def lift(self, call=operators_fake.HELD_CALL, reason='mended', **changes):
        body = {'call': call, 'reason': reason, **changes}
        return self.border.ask(
            'POST',
            '/v1/quarantine/lift',
            body=json.dumps(body).encode(),
            headers=JSON_ANA,
        )

    def test_a_call_is_let_through_with_a_name_and_a_reason(self):
        answer = self.lift()
        self.assertEqual(200, answer.status)
        self.assertEqual([('ana', 'mended')], self.border.control.lifts)
        found = self.border.ask('GET', '/v1/quarantine', headers=BEARER_ANA)
        (call,) = found.json()['calls']
        self.assertEqual(0.0, call['held_s'])

    def test_a_call_that_is_not_known_here(self):
        answer = self.lift(call='0' * 32)
        self.assertEqual(404, answer.status)
        self.assertEqual('unknown_call', answer.json()['reason'])
        self.assertIn('0' * 32, answer.json()['message'])

    @params({'call': 'x'}, {'reason': ' '}, {'reason': 'x' * 201}, {'who': 1})
    def test_a_lift_that_is_not_understood(self, changes):
        answer = self.lift(**changes)
        self.assertEqual(400, answer.status)
        (problem,) = answer.json()['problems']
        self.assertEqual(next(iter(changes)), problem['path'])
        self.assertEqual([], self.border.control.lifts)

    def test_a_change_is_applied_and_read_back(self):
        answer = self.put(change())
        self.assertEqual({'revision': 1, 'repeated': False}, answer.json())
        found = self.border.ask('GET', '/v1/document', headers=BEARER_ANA)
        self.assertEqual(1, found.json()['revision'])
        self.assertEqual('ana', found.json()['author'])
        self.assertEqual(1, found.json()['document']['version'])

    def test_a_charset_may_be_named(self):
        named = {'Content-Type': 'application/json; charset=utf-8'}
        answer = self.put(change(), headers=BEARER_ANA | named)
        self.assertEqual(200, answer.status)

    def test_a_resend_gets_its_first_result(self):
        """Symptom: an old document comes back after a later change.

        Sequence: a change is accepted and its answer lost; another operator
        changes the document; the first change is sent again. Cause: a
        resend that is taken for a new change.
        """
        self.put(change())
        self.put(change(expected_revision=1, change_id='c-2'))
        answer = self.put(change())
        self.assertEqual({'revision': 1, 'repeated': True}, answer.json())
        self.assertEqual(2, self.border.control.current().revision)

    def test_a_conflict_shows_the_other_change(self):
        self.put(change())
        answer = self.put(change(change_id='c-2'))
        self.assertEqual(409, answer.status)
        self.assertEqual('conflict', answer.json()['reason'])
        self.assertEqual(1, answer.json()['revision'])
        self.assertEqual('ana', answer.json()['author'])
        self.assertEqual([], answer.json()['document']['services'])

    def test_a_change_id_names_one_change_only(self):
        self.put(change())
        document = EMPTY | {
            'priorities': [{'name': 'urgent', 'rank': 0, 'max_wait_s': 1}]
        }
        answer = self.put(change(document=document))
        self.assertEqual(409, answer.status)
        self.assertEqual('change_id_reused', answer.json()['reason'])

    def test_a_lost_answer_is_not_told_as_not_applied(self):
        self.border.control.answers_lost = True
        answer = self.put(change())
        self.assertEqual(503, answer.status)
        self.assertIn('may still take effect', answer.json()['message'])
        self.assertIn('same change id', answer.json()['message'])

    def test_a_document_is_not_shown_without_a_majority(self):
        self.border.control.cut_off = True
        answer = self.border.ask('GET', '/v1/document', headers=BEARER_ANA)
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
    def test_problems_are_told_by_path(self, body, reason, path):
        answer = self.put(body)
        self.assertEqual(400, answer.status)
        self.assertEqual(reason, answer.json()['reason'])
        self.assertEqual(path, answer.json()['problems'][0]['path'])
        self.assertEqual(0, self.border.control.current().revision)

    @params(
        ('PUT', '/v1/document', JSON_ANA, b' ' * (5 * 1024 * 1024), 413),
        ('PUT', '/v1/document', BEARER_ANA, b'{}', 415),
        ('POST', '/v1/document', JSON_ANA, b'{}', 405),
        ('GET', '/v1/nothing', BEARER_ANA, None, 404),
        ('GET', '/v1/status?x=1', BEARER_ANA, None, 400),
    )
    def test_what_is_not_offered(self, method, path, headers, body, status):
        answer = self.border.ask(method, path, headers=headers, body=body)
        self.assertEqual(status, answer.status)
        self.assertIn('reason', answer.json())

    def test_metrics_need_no_token(self):
        answer = self.border.ask('GET', '/metrics')
        self.assertEqual(200, answer.status)
        self.assertIn(b'dandeliongw_refusals_total', answer.data)

    def test_who_changed_what_is_logged_without_the_token(self):
        self.put(change())
        (line,) = self.log.getvalue().splitlines()
        self.assertEqual('ana', json.loads(line)['operator'])
        self.assertEqual('Applied', json.loads(line)['result'])
        self.assertNotIn('token-of-ana', line)

    def test_a_fault_inside_shows_nothing_of_it(self):
        self.border.control.status = lambda: 1 / 0
        answer = self.border.ask('GET', '/v1/status', headers=BEARER_ANA)
        self.assertEqual(500, answer.status)
        self.assertNotIn(b'division', answer.data)
        self.assertIn('division', self.log.getvalue())
        self.assertNotIn('token-of-ana', self.log.getvalue())
