"""Client accounts of the document: keys, rates and their validation."""

import json
import unittest

from nose2.tools import params

from dandeliongw import accounts
from dandeliongw import document
from dandeliongw import exceptions
from tests import test_hosts

KEY_1, KEY_2 = 'a1' * 32, 'b2' * 32


def parse(*found):
    fields = test_hosts.make_document(test_hosts.make_route())
    fields.update(accounts=list(found), host_calls_need_key=True)
    return document.parse_document(json.dumps(fields).encode())


def account(name='one', **changes):
    return {'name': name, 'more_keys_sha256': [KEY_1], **changes}


class AccountTest(unittest.TestCase):
    def test_an_account_is_found_by_each_of_its_keys(self):
        made = parse(
            account(key_sha256=KEY_2),
            account('two', **{}, **{'more_keys_sha256': []}),
        )
        found = made.accounts_by_key_sha256
        self.assertEqual(
            {key: each.name for key, each in found.items()},
            {KEY_1: 'one', KEY_2: 'one'},
        )

    @params(
        ({'unit': 'requests'}, 500, 1.0),
        ({'unit': 'tokens', 'plain_tokens': 200}, 500, 500.0),
        ({'unit': 'tokens', 'plain_tokens': 200}, 0, 200.0),
    )
    def test_what_a_request_counts_as(self, fields, tokens, amount):
        rate = accounts.Rate(per_s=1.0, **fields)
        self.assertEqual(rate.weigh(tokens), amount)

    def test_requests_per_s_stands_for_a_rate(self):
        (made,) = parse(account(requests_per_s=0.5)).accounts
        self.assertEqual(
            (made.limit.per_s, made.limit.burst, made.limit.unit),
            (0.5, 1.0, 'requests'),
        )
        self.assertIsNone(parse(account()).accounts[0].limit)

    @params(
        ([{'rate': {'per_s': 0}}], 'rate.per_s'),
        ([{'rate': {'per_s': -1}}], 'rate.per_s'),
        ([{'rate': {'per_s': 1, 'burst': -1}}], 'rate.burst'),
        ([{'rate': {'per_s': 1, 'unit': 'bytes'}}], 'rate.unit'),
        ([{'rate': {'per_s': 1, 'plain_tokens': 0}}], 'plain_tokens'),
        ([{'rate': {'per_s': 1}, 'requests_per_s': 1}], 'requests_per_s'),
        ([{'more_keys_sha256': ['secret']}], 'more_keys_sha256[0]'),
        ([{'key_sha256': KEY_1}], 'accounts[0].more_keys_sha256'),
        ([{}, {'name': 'two'}], 'accounts[1].more_keys_sha256'),
        ([{}, {'more_keys_sha256': [KEY_2]}], 'accounts[1].name'),
        ([{'services': ['portal']}], 'accounts[0].priority'),
        ([{'priority': 'vip'}], 'accounts[0].priority'),
    )
    def test_refused_with_its_path(self, changes, path):
        with self.assertRaises(exceptions.InvalidInput) as caught:
            parse(*(account(**each) for each in changes))
        problems = caught.exception.problems
        self.assertIn(path, ' '.join(each.path for each in problems))
        self.assertNotIn('"secret"', str(caught.exception))

    def test_an_unknown_unit_gets_the_choices(self):
        with self.assertRaises(exceptions.InvalidInput) as caught:
            parse(account(rate={'per_s': 1, 'unit': 'bytes'}))
        self.assertIn("'requests' or 'tokens'", str(caught.exception))

    def test_no_digest_is_shown(self):
        with self.assertRaises(exceptions.InvalidInput) as caught:
            parse(account(), account('two'))
        self.assertNotIn(KEY_1, str(caught.exception))
