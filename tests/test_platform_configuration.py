"""Translation of the operators' configuration into the document."""

import json
import unittest

from nose2.tools import params

from dandeliongw import document
from dandeliongw import exceptions
from tests import on_platform
from tools import local

from adapter import configuration


def translate(message=on_platform.CONFIGURATION):
    text = json.dumps(message)
    found = configuration.parse(text.encode())
    return configuration.translate(found, text)


class TranslateTest(unittest.TestCase):
    def setUp(self):
        self.made = translate()

    def test_the_source_text_is_kept(self):
        body = document.document_bytes(self.made)
        kept = document.parse_document(body).source
        self.assertEqual(json.loads(kept), on_platform.CONFIGURATION)

    def test_a_resumable_stream(self):
        route = self.made.route_table.find('one.example', '/s/x')
        self.assertEqual(route.repeat, 'resume')
        self.assertEqual((route.max_runs, route.timeout_s), (2, 14.0))
        self.assertEqual(route.patience_s, 3.6)
        self.assertEqual(route.targets[0].service, 'model-a')

    def test_a_route_that_is_split(self):
        route = self.made.route_table.find('one.example', '/p/x')
        self.assertEqual(route.repeat, 'never')
        self.assertEqual(
            [(each.service, each.weight) for each in route.targets],
            [('plain-a', 90), ('plain-b', 10)],
        )

    def test_engines(self):
        service = self.made.services_by_name['model-a']
        self.assertEqual((service.kind, service.kv_life_s), ('model', 0.5))
        self.assertEqual(
            (service.first_token_s, service.token_gap_s), (0.9, 0.3)
        )
        decode = self.made.pools_by_name['model-a-d']
        self.assertEqual((decode.kv_tokens, decode.slots), (39418, 64))
        self.assertEqual(decode.link_bytes_per_s, 3.4e6 * 1e6 / 8)

    @params(
        ({'kind': 'safe'}, 'always'),
        ({'kind': 'unsafe'}, 'never'),
        ({'kind': 'streaming', 'resumable': False}, 'never'),
        ({'kind': 'unsafe', 'resumable': True}, 'never'),
    )
    def test_retries_follow_from_the_kind(self, changes, repeat):
        message = json.loads(json.dumps(on_platform.CONFIGURATION))
        message['routes'][0].update(changes)
        self.assertEqual(translate(message).host_routes[0].repeat, repeat)


TENANT = {
    'name': 'tenant-1',
    'apiKeys': ['key-1', 'key-2'],
    'priority': 2,
    'unit': 'tokens',
    'plainTokens': 200,
    'ratePerS': 102104,
    'burst': 51052,
}


def with_tenants(*tenants):
    message = json.loads(json.dumps(on_platform.CONFIGURATION))
    message['tenants'] = [{**TENANT, **each} for each in tenants]
    return message


class TenantTest(unittest.TestCase):
    def test_an_account(self):
        made = translate(with_tenants({}))
        self.assertTrue(made.host_calls_need_key)
        self.assertEqual(
            [local.sha256('key-1'), local.sha256('key-2')],
            list(made.accounts_by_key_sha256),
        )
        (account,) = made.accounts
        self.assertEqual(
            (account.limit.per_s, account.limit.burst, account.limit.unit),
            (102104.0, 51052.0, 'tokens'),
        )
        self.assertEqual(account.limit.weigh(0), 200.0)
        self.assertEqual(made.priorities_by_name[account.priority].rank, 2)

    @params({'ratePerS': 0}, {'ratePerS': None})
    def test_an_account_without_a_limit(self, changes):
        tenant = {**TENANT, **changes}
        if tenant['ratePerS'] is None:
            del tenant['ratePerS']
        message = with_tenants({})
        message['tenants'] = [tenant]
        (account,) = translate(message).accounts
        self.assertIsNone(account.limit)

    def test_an_account_that_has_lost_its_last_key(self):
        made = translate(with_tenants({'apiKeys': []}))
        self.assertTrue(made.host_calls_need_key)
        self.assertEqual(dict(made.accounts_by_key_sha256), {})

    def test_without_a_list_of_accounts_no_key_is_needed(self):
        self.assertFalse(translate().host_calls_need_key)

    def test_an_empty_list_of_accounts(self):
        """Guards against hosts that open when the last account is removed."""
        made = translate(with_tenants())
        self.assertTrue(made.host_calls_need_key)
        self.assertEqual(dict(made.accounts_by_key_sha256), {})

    def test_an_empty_list_survives_storage(self):
        made = translate(with_tenants())
        stored = document.parse_document(document.document_bytes(made))
        self.assertTrue(stored.host_calls_need_key)

    def test_the_same_key_given_twice(self):
        made = translate(with_tenants({'apiKeys': ['key-1', 'key-1']}))
        self.assertEqual(len(made.accounts[0].keys_sha256), 1)

    @params(
        ([{}, {'name': 'tenant-2'}], 'accounts[1]'),
        ([{}, {'apiKeys': ['key-3']}], 'accounts[1].name'),
        ([{'apiKeys': ['']}], 'tenants[0].apiKeys[0]'),
        ([{'apiKeys': ['hidden key']}], 'tenants[0].apiKeys[0]'),
        ([{'apiKeys': ['x' * 513]}], 'tenants[0].apiKeys[0]'),
        ([{'apiKeys': 'hidden-key'}], 'tenants[0].apiKeys'),
        ([{'ratePerS': -1}], 'tenants[0].ratePerS'),
        ([{'burst': -1}], 'tenants[0].burst'),
        ([{'unit': 'bytes'}], 'tenants[0].unit'),
        ([{'plainTokens': 0}], 'tenants[0].plainTokens'),
        ([{'priority': -1}], 'tenants[0].priority'),
        ([{'name': ''}], 'tenants[0].name'),
    )
    def test_an_invalid_account_is_refused(self, tenants, named):
        """Guards against keys in answers and logs, too."""
        with self.assertRaises(exceptions.InvalidInput) as caught:
            translate(with_tenants(*tenants))
        paths = ' '.join(each.path for each in caught.exception.problems)
        self.assertIn(named, paths)
        for secret in ('key-1', 'hidden', 'xxx', local.sha256('key-1')):
            self.assertNotIn(secret, str(caught.exception))


class RefusalTest(unittest.TestCase):
    """An invalid configuration is refused as a whole."""

    @params(
        (['version'], None, 'version'),
        (['routes', 0, 'service'], 'nowhere', 'targets[0].service'),
        (['routes', 1, 'backends', 0, 'service'], 'no', 'targets[0].service'),
        (['routes', 0, 'service'], None, 'routes[0].service'),
        (['routes', 0, 'timeoutMs'], 0, 'routes[0].timeoutMs'),
        (['routes', 1, 'pathPrefix'], '/s/', 'path_prefix'),
        (['routes', 1, 'backends', 0, 'weight'], -1, 'weight'),
        (['services', 0, 'engine', 'slots'], None, 'engine.slots'),
        (['limits'], None, 'limits'),
        (['routes', 0, 'kind'], 'other', 'kind'),
    )
    def test_it_is_refused_and_its_field_named(self, path, value, named):
        message = on_platform.changed(on_platform.CONFIGURATION, path, value)
        with self.assertRaises(exceptions.InvalidInput) as caught:
            translate(message)
        paths = ' '.join(each.path for each in caught.exception.problems)
        self.assertIn(named, paths)

    def test_weights_that_add_up_to_zero(self):
        message = json.loads(json.dumps(on_platform.CONFIGURATION))
        for target in message['routes'][1]['backends']:
            target['weight'] = 0
        with self.assertRaises(exceptions.InvalidInput) as caught:
            translate(message)
        self.assertIn('weights add up to 0', str(caught.exception))

    @params(b'', b'{', b'[]', b'"text"', b'\xff', b'{"version": 7')
    def test_a_body_that_is_truncated_or_no_object_is_refused(self, body):
        with self.assertRaises(exceptions.InvalidInput):
            configuration.parse(body)
