"""Translation of the operators' configuration into the document."""

import json
import unittest

from nose2.tools import params

from dandeliongw import document
from dandeliongw import exceptions
from tests import on_platform

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
