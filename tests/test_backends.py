"""The HTTP API for backend servers, on a port that the system chooses."""

import contextlib
import functools
import hashlib
import json
import unittest

from nose2.tools import params
import urllib3

from dandeliongw.api import backends
from dandeliongw.api import bodies
from dandeliongw.api import http_ports
from dandeliongw import control_facades
from dandeliongw.coordination import parts
from dandeliongw import settings
from tests import network

KEY = 'the-key-of-backend-servers'
IDENTITY = {'backend_id': 'portal-1', 'incarnation': 1, 'sequence': 5}
ANNOUNCEMENT = IDENTITY | {
    'service': 'studio-portal',
    'role': 'plain',
    'url': 'http://127.0.0.1:9000',
    'data_centre': 'dc-0',
    'slots': 4,
}
TERMS = {'lease_s': 3.0, 'renew_s': 1.0}


class VirtualRuntime:
    """Sends events to a reducer of the simulated network, synchronously."""

    def __init__(self, *, net, instance_id):
        self._net = net
        self._instance_id = instance_id

    def post_and_wait(self, make_event):
        event = make_event(now=self._net.now, ticket='ask')
        done = self._net.post(self._instance_id, event)
        (result,) = [
            each.result
            for each in done
            if isinstance(each, parts.Complete) and each.ticket == 'ask'
        ]
        return result


class Client:
    """A client of one instance's API for backend servers."""

    def __init__(self, *, url):
        self._url = url
        self._client = urllib3.PoolManager(retries=False, timeout=30)

    def send(self, verb, body, **options):
        if not isinstance(body, (bytes, list)):
            body = json.dumps(body).encode()
        answer = self._client.request(
            'POST', f'{self._url}/v1/backends/{verb}', body=body, **options
        )
        return answer.status, answer.json()

    def send_valid(self, verb, **fields):
        """Send a valid message, with some fields replaced."""
        base = ANNOUNCEMENT if verb == 'announce' else IDENTITY
        return self.send(verb, base | fields)


@contextlib.contextmanager
def serving(key_sha256=None):
    """Serve the API in front of a real reducer; yields a client."""
    net = network.Network()
    made = backends.Backends(
        presence_facade=control_facades.BackendsFacade(
            reducer=net.reducers_by_id['gw-1'],
            runtime=VirtualRuntime(net=net, instance_id='gw-1'),
        ),
        key_sha256=key_sha256,
        **TERMS,
    )
    listen = settings.Listen(host='127.0.0.1', port=0, threads=4, queue=4)
    with http_ports.open_port(listen, 'control', 1.0) as port:
        # Seconds between the server's checks whether it has been stopped.
        port._server.expiration_interval = 0.01
        port.serve(backends.make_application(made))
        yield Client(url=f'http://127.0.0.1:{port.number}')


class BackendsTest(unittest.TestCase):
    def setUp(self):
        self.client = self.enterContext(serving())

    def test_announce_renew_leave_and_announce_again(self):
        self.assertEqual((200, TERMS), self.client.send_valid('announce'))
        load = {'running': 1, 'slots_used': 1}
        events = {'first': 3, 'events': [{'kind': 'stored', 'prefix': 'ab'}]}
        renewed = self.client.send_valid(
            'renew', sequence=6, load=load, cache_events=events
        )
        self.assertEqual((200, TERMS), renewed)
        self.assertEqual(
            (200, {}), self.client.send_valid('leave', sequence=7)
        )
        self.assertEqual(
            (200, TERMS), self.client.send_valid('announce', sequence=8)
        )

    @params('announce', 'renew')
    def test_message_older_than_the_last_one_is_refused(self, verb):
        """A process must not get a 200 if a newer one has its backend id.

        A second process with the same id announces itself, then the first
        one sends again; with a 200 it would wait for work in vain.
        """
        self.client.send_valid('announce', sequence=9)
        status, answer = self.client.send_valid(verb, sequence=8)
        self.assertEqual((409, 'old'), (status, answer['reason']))
        self.assertIn('newer', answer['message'])

    @params('announce', 'renew')
    def test_message_older_than_a_leave_is_refused(self, verb):
        """As above, but the newer message is a leave."""
        self.client.send_valid('announce')
        self.client.send_valid('leave', sequence=9)
        status, answer = self.client.send_valid(verb, sequence=8)
        self.assertEqual((409, 'left'), (status, answer['reason']))
        self.assertIn('new announcement', answer['message'])

    def test_resent_announcement_is_accepted(self):
        for _ in range(2):
            self.assertEqual((200, TERMS), self.client.send_valid('announce'))

    def test_renewal_of_an_unknown_server_asks_for_an_announcement(self):
        status, answer = self.client.send_valid('renew')
        self.assertEqual((404, 'announce_again'), (status, answer['reason']))

    @params(
        ('announce', {'role': 'chef'}, ('role', 'chef', "'prefill'")),
        ('announce', {'slots': -1}, ('slots', '-1', '0')),
        ('announce', {'slots': '4'}, ('slots', '"4"', 'integer')),
        ('announce', {'backend_id': 'A b'}, ('backend_id', 'A b', 'a-z')),
        ('announce', {'colour': 'red'}, ('colour', 'no such field', 'role')),
        (
            'announce',
            {'url': 'ftp://127.0.0.1:9000'},
            ('url', 'ftp://', 'http://HOST:PORT'),
        ),
        (
            'announce',
            {'data_centre': 'dc-9'},
            ('data_centre', 'dc-9', 'dc-0, dc-1, dc-2'),
        ),
        ('renew', {'incarnation': 1.5}, ('incarnation', '1.5', 'integer')),
        ('renew', {'load': {'running': -1}}, ('load.running', '-1', '0')),
        (
            'renew',
            {'cache_events': {'events': [{'kind': 'lost', 'prefix': 'a'}]}},
            ('cache_events.events[0].kind', 'lost', "'stored'"),
        ),
        ('leave', {'sequence': -1}, ('sequence', '-1', '0')),
    )
    def test_error_names_field_value_and_allowed_values(
        self, verb, fields, expected
    ):
        status, answer = self.client.send_valid(verb, **fields)
        self.assertEqual((400, 'bad_request'), (status, answer['reason']))
        for part in expected:
            self.assertIn(part, answer['message'])

    @params('announce', 'renew', 'leave')
    def test_body_that_is_not_json_is_refused(self, verb):
        status, answer = self.client.send(verb, b'{"backend_id": ')
        self.assertEqual((400, 'bad_request'), (status, answer['reason']))
        self.assertIn('not JSON', answer['message'])

    @params('announce', 'renew', 'leave')
    def test_error_names_a_missing_field(self, verb):
        status, answer = self.client.send(verb, {'backend_id': 'portal-1'})
        self.assertEqual(400, status)
        self.assertIn('incarnation: not given', answer['message'])

    @params('', 'shout', 'announce/now')
    def test_error_for_an_unknown_path_lists_the_paths(self, path):
        status, answer = self.client.send(path, ANNOUNCEMENT)
        self.assertEqual((404, 'unknown_path'), (status, answer['reason']))
        self.assertIn('announce, renew, leave', answer['message'])

    @params('whole', 'chunked')
    def test_body_over_the_limit_is_refused(self, way):
        """A body over the limit must not be truncated and then parsed.

        A backend server sends more cache events than fit; the error would
        be "not JSON", or a part of the body would be accepted.
        """
        body = json.dumps(ANNOUNCEMENT).encode()
        body += b' ' * (bodies.MAX_BYTES + 1 - len(body))
        if way == 'chunked':
            body = [body[:100], body[100:]]
        status, answer = self.client.send('announce', body)
        self.assertEqual((413, 'too_large'), (status, answer['reason']))
        self.assertIn(str(bodies.MAX_BYTES), answer['message'])
        self.assertEqual(404, self.client.send_valid('renew')[0])

    def test_body_at_the_limit_is_accepted(self):
        body = json.dumps(ANNOUNCEMENT).encode()
        body += b' ' * (bodies.MAX_BYTES - len(body))
        self.assertEqual((200, TERMS), self.client.send('announce', body))


class KeyTest(unittest.TestCase):
    def setUp(self):
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        self.send = functools.partial(
            self.enterContext(serving(digest)).send, 'announce', ANNOUNCEMENT
        )

    def test_right_key_is_accepted(self):
        headers = {'Authorization': f'Bearer {KEY}'}
        self.assertEqual((200, TERMS), self.send(headers=headers))

    @params({}, {'Authorization': 'Bearer another'}, {'Authorization': KEY})
    def test_missing_or_wrong_key_is_refused(self, headers):
        status, answer = self.send(headers=headers)
        self.assertEqual((401, 'unknown_key'), (status, answer['reason']))
        self.assertNotIn(KEY, answer['message'])
