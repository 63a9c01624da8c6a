"""Answers that end early, at each of their bytes, for each reader of HTTP."""

import contextlib
import queue
import unittest

from nose2.tools import params

from dandeliongw import client as clients
from dandeliongw import connection_pool
from dandeliongw import engine
from dandeliongw import exceptions
from dandeliongw import exchange as exchanges
from dandeliongw import http_backends
from dandeliongw import joining
from dandeliongw import settings
from dandeliongw import tunnels
from dandeliongw import verdict
from tests import cut_answers
from tests.cut_answers import ANSWERS
from tests import through_tunnels

TIMEOUT_S = cut_answers.TIMEOUT_S
ENDS = (False, True)
WAYS = ('direct', 'tunnel')


class CutTestCase(unittest.TestCase):
    """Base class: a server whose answers are cut."""

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.server = self.stack.enter_context(cut_answers.serving())

    def cuts(self, answer):
        """Yield each part of an answer and how it ends; set the server."""
        for is_reset in ENDS:
            for length in range(len(answer)):
                self.server.sent = answer[:length]
                self.server.is_reset = is_reset
                yield answer[:length], 'reset' if is_reset else 'closed'


class ExchangeTest(CutTestCase):
    """Guards against cut answers that are passed on as whole ones."""

    def connector(self, way):
        if 'tunnel' not in way:
            return None
        return self.stack.enter_context(through_tunnels.connecting())

    def call(self, connector, pool):
        made = exchanges.Exchange(
            url=self.server.url,
            connect_s=TIMEOUT_S,
            read_s=TIMEOUT_S,
            connector=connector,
            pool=pool,
        )
        try:
            made.open()
            return made.read(made.send('GET', '/', b'', {}), 1000)
        finally:
            made.close()

    @params(
        *((way, name) for way in WAYS for name in ANSWERS),
        ('pooled', 'length'),
        ('pooled', 'chunked'),
        ('pooled', 'interim'),
        ('pooled tunnel', 'length'),
    )
    def test_a_cut_answer_may_have_run(self, way, name):
        connector, pool = self.connector(way), None
        if 'pooled' in way:
            pool = connection_pool.ConnectionPool()
            self.server.before = [ANSWERS['length']]
        passed = []
        for sent, end in self.cuts(ANSWERS[name]):
            if pool is not None:
                self.call(connector, pool)
            try:
                body = self.call(connector, pool)
            except engine.EngineError as error:
                self.assertIs(verdict.Verdict.MAY_HAVE_RUN, error.known)
                self.assertTrue(error.is_cut)
            else:
                passed.append((sent[-20:], end, body))
        self.assertEqual([], passed)

    @params(*WAYS)
    def test_a_cut_head_of_an_answer_without_length_may_have_run(self, way):
        connector = self.connector(way)
        passed = []
        for sent, end in self.cuts(b'HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n'):
            with contextlib.suppress(engine.EngineError):
                passed.append((sent, end, self.call(connector, None)))
        self.assertEqual([], passed)

    @params(*((way, name) for way in WAYS for name in ANSWERS))
    def test_a_whole_answer_arrives(self, way, name):
        connector = self.connector(way)
        self.server.sent = ANSWERS[name]
        body = {
            'chunked': b'0123456789 some other text',
            'empty': b'',
            'no reason': b'',
            'HTTP/1.0': b'ab',
        }.get(name, cut_answers.BODY)
        self.assertEqual(body, self.call(connector, None))

    @params(
        b'X-A: b\r\nbroken\r\nContent-Length: 20\r\n',
        b'Content-Length : 20\r\n',
        b'Content-Length: 2o\r\n',
        b'Content-Length: -5\r\n',
        b'Content-Length: \r\n',
        b'Content-Length: 4\r\nContent-Length: 8\r\n',
        b'Transfer-Encoding: gzip, chunked\r\n',
    )
    def test_a_head_that_hides_the_end_may_have_run(self, fields):
        """Guards against the end of the connection as that of the body."""
        self.server.sent = b'HTTP/1.1 200 OK\r\n' + fields + b'\r\n0123'
        with self.assertRaises(engine.EngineError) as raised:
            self.call(None, None)
        self.assertIs(verdict.Verdict.MAY_HAVE_RUN, raised.exception.known)

    @params(
        b'Content-Type: multipart/mixed; boundary=x\r\n',
        b'Content-Type: message/rfc822\r\n',
    )
    def test_a_valid_head_is_read(self, fields):
        self.server.sent = b'HTTP/1.1 200 OK\r\n' + fields + b'\r\n0123'
        self.assertEqual(b'0123', self.call(None, None))

    def test_a_cut_head_states_no_rate_limit(self):
        """Guards against limits read from a number that is cut."""
        head = b'HTTP/1.1 200 OK\r\nX-Requests-Per-S: 120\r\n\r\n'
        limits = []
        for _ in self.cuts(head):
            service = http_backends.PlainService(
                url=self.server.url,
                connect_s=TIMEOUT_S,
                timeout_s=TIMEOUT_S,
                on_rate_limit=limits.append,
            )
            with contextlib.suppress(engine.EngineError):
                service.call(
                    method='GET', path='/', body=b'', headers={}, max_bytes=9
                )
        self.assertEqual([], limits)


class ClientTest(CutTestCase):
    """Guards against a change that is reported as refused and took effect."""

    @params('length', 'chunked', 'interim')
    def test_a_cut_answer_may_have_arrived(self, name):
        client = clients.Client(url=self.server.url)
        for sent, end in self.cuts(ANSWERS[name]):
            with (
                self.subTest(sent=sent, end=end),
                self.assertRaises(exceptions.InstanceUnreachable),
            ):
                client.get('/')


class JoinerTest(CutTestCase):
    def test_a_cut_answer_of_a_seed_finds_no_instance(self):
        found = queue.SimpleQueue()
        joiner = joining.Joiner(
            read_seeds=lambda: (
                settings.Address(host=self.server.host, port=self.server.port),
            ),
            forms=False,
            own_address='127.0.0.1:1',
            post=found.put,
        )
        body = b'{"instance_id": "i1", "instances": []}\n'
        answer = (
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body
        )
        for _ in self.cuts(answer):
            joiner._query_one(f'{self.server.host}:{self.server.port}')
        self.assertTrue(found.empty())


class TunnelTest(CutTestCase):
    """Guards against tunnels that are told from a cut head."""

    @params(
        b'HTTP/1.1 200 opened\r\nX-A: b\r\n\r\n',
        b'HTTP/1.1 502 refused\r\nX-A: b\r\n\r\n',
    )
    def test_a_cut_answer_opens_no_tunnel(self, answer):
        far = tunnels.Address(host=self.server.host, port=self.server.port)
        for sent, end in self.cuts(answer):
            with self.subTest(sent=sent, end=end):
                opened = tunnels.open_through(
                    far, far, timeout_s=TIMEOUT_S, secret=None
                )
                if opened.connection is not None:
                    opened.connection.close()
                self.assertIs(tunnels.Outcome.UNAVAILABLE, opened.outcome)
