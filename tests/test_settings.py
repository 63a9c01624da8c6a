"""Invalid settings are refused with every problem, its path and a hint."""

import copy
import json
import pathlib
import unittest

from nose2.tools import params

from dandeliongw import exceptions
from dandeliongw import reference
from dandeliongw import settings

EXAMPLES = pathlib.Path('examples')
DOCS = pathlib.Path('docs')
SECRET = 'a-secret-that-nobody-may-see'

VALID = {
    'instance_id': 'gw-1',
    'data_centre': 'austin-a',
    'region': 'tx-central',
    'data_folder': '/var/lib/dandeliongw',
    'callers': {'host': '127.0.0.1', 'port': 0},
    'control': {'host': '127.0.0.1', 'port': 0},
    'peer': {'host': '127.0.0.1', 'port': 7101},
    'peers': [
        {
            'instance_id': 'gw-1',
            'host': '127.0.0.1',
            'port': 7101,
            'data_centre': 'austin-a',
            'region': 'tx-central',
            'voter': True,
        }
    ],
}


def changed(path: str, value: object) -> bytes:
    """Return the valid settings with one dotted field set."""
    tree = copy.deepcopy(VALID)
    *parents, last = path.split('.')
    target = tree
    for name in parents:
        target = target.setdefault(name, {})
    target[last] = value
    return json.dumps(tree).encode()


def peer(number: int) -> dict:
    """Return one voter of many."""
    return VALID['peers'][0] | {
        'instance_id': f'gw-{number}',
        'port': 7100 + number,
    }


def problems_of(body: bytes) -> tuple[exceptions.Problem, ...]:
    try:
        settings.parse_settings(body)
    except exceptions.InvalidInput as error:
        return error.problems
    raise AssertionError('these settings were accepted')


class SettingsTest(unittest.TestCase):
    def test_defaults(self):
        found = settings.parse_settings(json.dumps(VALID).encode())
        self.assertEqual(200, found.callers.threads)
        self.assertEqual(16, found.control.threads)
        self.assertEqual(8 * 1024 * 1024, found.limits.max_body_bytes)
        self.assertEqual(200_000, found.limits.max_claims)
        self.assertEqual(0.25, found.timeouts.lease_margin_s)
        self.assertTrue(found.peers_by_id['gw-1'].voter)

    @params(
        ('data_folder', None, 'data_folder'),
        ('instance_id', 'gw-9', 'instance_id'),
        ('data_centre', 'waco-hall', 'data_centre'),
        ('peers', VALID['peers'] * 2, 'peers[1].instance_id'),
        ('peers', [VALID['peers'][0] | {'voter': False}], 'peers'),
        ('peers', [peer(number) for number in range(1, 14)], 'peers'),
        ('callers.host', 'gateway.example', 'callers.host'),
        ('callers.host', '0.0.0.0', 'callers.advertised'),
        ('control.port', 65536, 'control.port'),
        ('callers.port', 7101, 'peer.port'),
        ('callers.threads', '200', 'callers.threads'),
        ('limits.max_claims', 0, 'limits.max_claims'),
        ('limits.answer_memory_bytes', 1000, 'limits.answer_memory_bytes'),
        ('limits.reserved_lookups', 41, 'limits.max_streams'),
        ('limits.max_requests', 200, 'limits.max_requests'),
        ('timeouts.lease_margin_s', 2, 'timeouts.lease_margin_s'),
        ('timeouts.renew_s', 0, 'timeouts.renew_s'),
        ('log_level', 'LOUD', 'log_level'),
    )
    def test_refused_with_its_path(self, path, value, problem_path):
        problems = problems_of(changed(path, value))
        self.assertIn(problem_path, [problem.path for problem in problems])

    def test_one_thread_stays_free_to_refuse_excess_requests(self):
        """Accepted requests must not be able to occupy every thread.

        Otherwise none is free to refuse further requests: clients wait, and
        get 503s that no counter records.
        """
        (problem,) = problems_of(changed('limits.max_requests', 200))
        self.assertEqual('given 200', problem.given)
        self.assertIn('less than callers.threads', problem.allowed)
        self.assertIn('200', problem.allowed)
        found = settings.parse_settings(changed('limits.max_requests', 199))
        self.assertEqual(199, found.limits.max_requests)

    def test_every_problem_is_reported(self):
        tree = VALID | {'log_level': 'LOUD', 'region': 5, 'colour': 'red'}
        problems = problems_of(json.dumps(tree).encode())
        self.assertEqual(
            {'log_level', 'region', 'colour'},
            {problem.path for problem in problems},
        )

    def test_a_field_with_another_unit_gets_a_suggestion(self):
        (problem,) = problems_of(changed('timeouts.lease_ms', 2000))
        self.assertEqual('timeouts.lease_ms', problem.path)
        self.assertEqual("did you mean 'lease_s'?", problem.allowed)

    @params(
        ('peer_secret', 5, 'peer_secret'),
        ('peer_secrets', SECRET, 'peer_secrets'),
        ('backend_key_sha256', SECRET, 'backend_key_sha256'),
        (
            'operators',
            [{'name': 'ana', 'token_sha256': SECRET}],
            'operators[0].token_sha256',
        ),
    )
    def test_a_misplaced_secret_is_not_shown(self, path, value, problem_path):
        (problem,) = problems_of(changed(path, value))
        self.assertEqual(problem_path, problem.path)
        self.assertNotIn(SECRET, str(problem))

    def test_the_secret_is_not_in_the_representation(self):
        found = settings.parse_settings(changed('peer_secret', SECRET))
        self.assertNotIn(SECRET, repr(found))

    def test_a_file_that_cannot_be_read(self):
        with self.assertRaises(exceptions.InvalidInput) as raised:
            settings.load_settings('/nowhere/settings.json')
        self.assertIn('/nowhere/settings', raised.exception.format_message())

    @params(
        (
            'brazos',
            {'austin-a', 'austin-b', 'waco-hall', 'temple-hall'},
            'tx-central',
        ),
        (
            'khangai',
            {'hall-tuul', 'hall-bogd', 'hall-selbe'},
            'ulaanbaatar',
        ),
    )
    def test_examples_describe_one_deployment(self, name, places, region):
        paths = EXAMPLES.glob(f'{name}-*.settings.json')
        found = [settings.load_settings(path) for path in paths]
        self.assertIn(len(found), range(7, 10))
        self.assertEqual(places, {each.data_centre for each in found})
        self.assertEqual({region}, {each.region for each in found})
        (peers,) = {each.peers for each in found}
        self.assertEqual(
            {peer.instance_id for peer in peers},
            {each.instance_id for each in found},
        )
        for each in found:
            own = each.peers_by_id[each.instance_id]
            self.assertEqual((own.host, own.port), listens_at(each.peer))
            self.assertEqual(own.voter, each.data_folder is not None)

    @params('brazos', 'khangai')
    def test_examples_keep_a_majority_without_any_data_centre(self, name):
        path = next(EXAMPLES.glob(f'{name}-*.settings.json'))
        peers = settings.load_settings(path).peers
        voters = [peer.data_centre for peer in peers if peer.voter]
        self.assertEqual(1, len(voters) % 2)
        for place in voters:
            left = len(voters) - voters.count(place)
            self.assertGreater(left, len(voters) / 2)

    def test_generated_pages_are_current(self):
        """Run scripts/schemas if this fails."""
        for path, text in reference.pages(DOCS).items():
            self.assertEqual(text, path.read_text(), path)


def listens_at(address: settings.Address) -> tuple[str, int]:
    return address.host, address.port
