"""Requests that end early, at each of their bytes, for each reader of them."""

import io
import socket
import unittest

from nose2.tools import params

from dandeliongw.api import _forwarded_body
from dandeliongw.api import calls
from dandeliongw.api import http_ports
from dandeliongw import settings
from dandeliongw import tunnels

TIMEOUT_S = 20
CHUNKS = b'3\r\nabc\r\n0a;x=y\r\n0123456789\r\n0\r\nX-Sum: 17\r\n\r\n'
HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
REQUESTS = (
    HEAD + b'Content-Length: 12\r\n\r\nabcdef\nghijk',
    HEAD + b'Transfer-Encoding: chunked\r\n\r\n' + CHUNKS,
)
WHOLE = (b'abcdef\nghijk', b'abc0123456789')


def send(address, data):
    """Send bytes and end; return the answer."""
    with socket.create_connection(address, timeout=TIMEOUT_S) as made:
        made.sendall(data)
        made.shutdown(socket.SHUT_WR)
        with made.makefile('rb') as answer:
            return answer.read()


class PortTest(unittest.TestCase):
    """Guards against cut requests that a handler gets as whole ones."""

    def setUp(self):
        listen = settings.Listen(host='127.0.0.1', port=0, threads=2, queue=9)
        self.port = self.enterContext(
            http_ports.open_port(listen, 'callers', 1.0)
        )
        self.port.serve(self.answer)
        self.address = ('127.0.0.1', self.port.number)
        self.bodies = []
        self.read = None

    def answer(self, environ, start_response):
        try:
            self.bodies.append(self.read(environ['wsgi.input']))
        except (ValueError, OSError):
            pass
        start_response('200 OK', [('Content-Length', '0')])
        return [b'']

    @params(
        *(
            (request, whole, read)
            for request, whole in zip(REQUESTS, WHOLE, strict=True)
            for read in (
                lambda body: body.read(),
                lambda body: body.read(1000),
                lambda body: b''.join(iter(lambda: body.read(5), b'')),
            )
        ),
        (REQUESTS[0], WHOLE[0], lambda body: b''.join(body)),
    )
    def test_only_a_whole_body_is_read(self, request, whole, read):
        self.read = read
        for length in range(len(request)):
            send(self.address, request[:length])
        self.assertEqual([], self.bodies)
        send(self.address, request)
        self.assertEqual([whole], self.bodies)


class ForwardedBodyTest(unittest.TestCase):
    def test_cut_chunks_are_refused(self):
        for length in range(len(CHUNKS)):
            with (
                self.subTest(length=length),
                self.assertRaises(calls.InvalidCall),
            ):
                _forwarded_body.read_chunked(io.BytesIO(CHUNKS[:length]), 99)


class TunnelServerTest(unittest.TestCase):
    def test_a_cut_request_opens_no_tunnel(self):
        """Guards against a proof or a port that is cut and taken for one."""
        asked = []
        server = self.enterContext(
            tunnels.serving(
                host='127.0.0.1', port=0, secret=None, may_connect=asked.append
            )
        )
        request = b'CONNECT 127.0.0.1:65000 HTTP/1.1\r\nX-Frames: 1\r\n\r\n'
        for length in range(len(request)):
            answer = send((server.host, server.port), request[:length])
            self.assertNotIn(b' 200 ', answer)
        self.assertEqual([], asked)
