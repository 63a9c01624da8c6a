"""The document: validation, route matching and canonical bytes."""

import copy
import json
import pathlib
import unittest

import jsonschema
from nose2.tools import params

from dandeliongw import document
from dandeliongw import exceptions

VALID = {
    'version': 1,
    'services': [
        {
            'name': 'dieline-llm',
            'kind': 'model',
            'first_token_s': 0.55,
            'token_gap_s': 0.034,
            'timeout_s': 120,
            'weights': {'goodput': 2, 'wasted_prefill': 1},
        },
        {'name': 'studio-portal', 'kind': 'plain', 'timeout_s': 10},
    ],
    'pools': [
        {
            'name': 'dieline-prefill',
            'service': 'dieline-llm',
            'role': 'prefill',
            'slots': 2,
            'link_bytes_per_s': 3e9,
            'kv_bytes_per_token': 131072,
            'prefill_tokens_per_s': 8000,
        },
        {
            'name': 'dieline-decode',
            'service': 'dieline-llm',
            'role': 'decode',
            'slots': 20,
            'link_bytes_per_s': 3e9,
            'decode_tokens_per_s': 600,
        },
        {
            'name': 'portal',
            'service': 'studio-portal',
            'role': 'plain',
            'slots': 32,
        },
    ],
    'priorities': [
        {'name': 'urgent', 'rank': 0, 'max_wait_s': 1},
        {'name': 'patient', 'rank': 1, 'max_wait_s': 30},
    ],
    'routes': [
        {
            'service': 'studio-portal',
            'method': 'GET',
            'path': path,
            'idempotent': True,
            'priority': 'urgent',
        }
        for path in ('/jobs/*', '/jobs/board', '/*')
    ],
    'accounts': [
        {
            'name': 'hill-country-cartons',
            'key_sha256': 'ab' * 32,
            'services': ['dieline-llm', 'studio-portal'],
            'max_in_flight': 8,
            'requests_per_s': 4,
            'priority': 'patient',
        }
    ],
}


def body_with(*path_and_value) -> bytes:
    """Return the valid document with the value at a path set."""
    *parents, last, value = path_and_value
    tree = copy.deepcopy(VALID)
    target = tree
    for part in parents:
        target = target[part]
    if value is None:
        del target[last]
    else:
        target[last] = value
    return json.dumps(tree).encode()


def problems_of(body: bytes) -> tuple[exceptions.Problem, ...]:
    try:
        document.parse_document(body)
    except exceptions.InvalidInput as error:
        return error.problems
    raise AssertionError('this document was accepted')


class DocumentTest(unittest.TestCase):
    def setUp(self):
        self.valid = document.parse_document(json.dumps(VALID).encode())

    @params(
        ('version', 2, 'version'),
        ('version', True, 'version'),
        ('version', None, 'version'),
        ('services', 0, 'kind', 'plain', 'services[0].first_token_s'),
        ('services', 0, 'token_gap_s', None, 'services[0].token_gap_s'),
        ('services', 1, 'kind', 'model', 'pools[2].role'),
        ('services', 1, 'name', 'dieline-llm', 'services[1].name'),
        ('services', 0, 'timeout_s', '120', 'services[0].timeout_s'),
        ('pools', 0, 'service', 'diecut-llm', 'pools[0].service'),
        ('pools', 1, None, 'services[0]'),
        ('pools', 1, 'slots', 0, 'pools[1].slots'),
        ('pools', 1, 'decode_tokens_per_s', None)
        + ('pools[1].decode_tokens_per_s',),
        ('pools', 2, 'link_bytes_per_s', 1, 'pools[2].link_bytes_per_s'),
        ('priorities', 1, 'rank', 0, 'priorities[1].rank'),
        ('routes', 0, 'service', 'portal', 'routes[0].service'),
        ('routes', 0, 'priority', 'now', 'routes[0].priority'),
        ('routes', 0, 'path', '/a*b', 'routes[0].path'),
        ('routes', 0, 'path', '/*', 'routes[2].path'),
        ('routes', 0, 'idempotent', None, 'routes[0].idempotent'),
        ('accounts', 0, 'priority', 'vip', 'accounts[0].priority'),
        ('accounts', 0, 'services', ['x'], 'accounts[0].services[0]'),
    )
    def test_refused_with_its_path(self, *arguments):
        *change, problem_path = arguments
        paths = [problem.path for problem in problems_of(body_with(*change))]
        self.assertIn(problem_path, paths)

    @params(
        ('services', 'first_token_ms', "'first_token_s'"),
        ('pools', 'link_gb_per_s', "'link_bytes_per_s'"),
        ('pools', 'slot', "'slots'"),
        ('accounts', 'colour', 'max_in_flight'),
    )
    def test_an_unknown_field_gets_a_suggestion(self, part, name, hint):
        (problem,) = problems_of(body_with(part, 0, name, 1))
        self.assertEqual(f'{part}[0].{name}', problem.path)
        self.assertIn(hint, problem.allowed)

    @params(
        ('services', 'first_token_s'),
        ('pools', 'kv_bytes_per_token'),
        ('accounts', 'share'),
    )
    def test_a_wrong_value_is_shown(self, part, name):
        (problem,) = problems_of(body_with(part, 0, name, '0,5'))
        self.assertEqual('given "0,5"', problem.given)

    def test_a_field_given_twice_is_refused(self):
        """JSON parsers keep the last of two equal names.

        A hand-written document with two lists of pools would silently lose
        the first one.
        """
        (problem,) = problems_of(b'{"version": 1, "pools": [], "pools": []}')
        self.assertEqual('pools', problem.path)

    @params(b'', b'[]', b'{"version": 1', b'\xff', b'[' * 100_000, b'NaN')
    def test_other_text_is_refused(self, body):
        self.assertTrue(problems_of(body))

    @params(
        ('GET', '/jobs/board', '/jobs/board'),
        ('GET', '/jobs/7', '/jobs/*'),
        ('GET', '/jobs', '/*'),
        ('POST', '/jobs/7', None),
    )
    def test_the_most_specific_route_applies(self, method, path, expected):
        route = self.valid.route_for('studio-portal', method, path)
        self.assertEqual(expected, route.path if route else None)

    def test_a_service_without_routes_has_none(self):
        self.assertIsNone(self.valid.route_for('dieline-llm', 'GET', '/'))

    def test_look_ups(self):
        pools = self.valid.pools_of('dieline-llm')
        self.assertEqual(['prefill', 'decode'], [pool.role for pool in pools])
        account = self.valid.accounts_by_key_sha256['ab' * 32]
        self.assertEqual('hill-country-cartons', account.name)

    def test_equal_documents_have_equal_bytes(self):
        shuffled = dict(reversed(VALID.items()))
        again = document.parse_document(json.dumps(shuffled).encode())
        body = document.document_bytes(again)
        self.assertEqual(document.document_bytes(self.valid), body)
        self.assertEqual(self.valid, document.parse_document(body))

    def test_the_first_state_is_valid(self):
        empty = document.parse_document(b'{"version": 1}')
        self.assertEqual(document.EMPTY, empty)

    @params(
        ('brazos', 'dieline-llm', 'studio-portal', '/v1/quotes'),
        ('khangai', 'coach-assist', 'booking-desk', '/bookings'),
    )
    def test_examples(self, name, model, plain, once_only):
        path = pathlib.Path('examples', f'{name}.document.json')
        found = document.parse_document(path.read_bytes())
        self.assertEqual('model', found.services_by_name[model].kind)
        self.assertEqual('plain', found.services_by_name[plain].kind)
        (route,) = [r for r in found.routes if r.path == once_only]
        self.assertFalse(route.idempotent)
        lookup = found.route_for(plain, 'GET', '/jobs/7')
        self.assertTrue(lookup.idempotent)
        self.assertEqual(0, found.priorities_by_name[lookup.priority].rank)

    @params('brazos', 'khangai')
    def test_examples_fit_the_published_schemas(self, name):
        for path in pathlib.Path('examples').glob(f'{name}*.json'):
            kind = path.name.split('.')[1]
            schema = pathlib.Path('docs', f'{kind}.schema.json')
            jsonschema.validate(
                json.loads(path.read_bytes()),
                json.loads(schema.read_bytes()),
                jsonschema.Draft202012Validator,
            )
