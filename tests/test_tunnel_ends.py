"""Ends of answers without a length: regular, early, or unknown."""

import contextlib
import socket
import threading
import unittest

from nose2.tools import params

from dandeliongw import _tunnel_socket
from dandeliongw import engine
from dandeliongw import exchange as exchanges
from dandeliongw import sockets
from dandeliongw import tunnels
from dandeliongw import verdict
from tests import raw_server
from tests import through_tunnels

TIMEOUT_S = raw_server.TIMEOUT_S
HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
BODY = b'x' * 800
HALF = BODY[:400]


class EndTestCase(unittest.TestCase):
    """Base class: a backend server, reached directly or through a tunnel."""

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        #: Set when the client has the first part of an answer.
        self.has_first_part = threading.Event()

    def serve_tunnels(self):
        self.server = self.stack.enter_context(
            tunnels.serving(
                host='127.0.0.1',
                port=0,
                secret=None,
                may_connect=lambda address: True,
            )
        )
        return tunnels.Address(host=self.server.host, port=self.server.port)

    def far_instance(self, answer_head, wrap=bytes):
        """Return a stand-in that answers for the backend server, and ends.

        :param answer_head: returns its answer to the request for a tunnel.
        :param wrap: makes a frame, if it sends frames.
        """

        def serve():
            connection, _ = listener.accept()
            with connection:
                head = b''
                while b'\r\n\r\n' not in head:
                    head += connection.recv(65536)
                connection.sendall(answer_head(head))
                connection.recv(65536)
                connection.sendall(wrap(HEAD + HALF))

        listener = self.stack.enter_context(
            socket.create_server(('127.0.0.1', 0))
        )
        thread = threading.Thread(target=serve)
        thread.start()
        self.stack.callback(thread.join)
        host, port = listener.getsockname()
        return tunnels.Address(host=host, port=port)

    def ends(self, end):
        """Return a reply that sends half of an answer, and then ends."""

        def reply(connection):
            connection.sendall(HEAD + HALF)
            self.has_first_part.wait(TIMEOUT_S)
            end(connection)

        return reply

    def exchange(self, reply, far=None):
        url = 'http://127.0.0.1:1'
        if reply is not None:
            server = self.stack.enter_context(raw_server.serving(reply))
            url = server.url
        made = exchanges.Exchange(
            url=url,
            connect_s=TIMEOUT_S,
            read_s=TIMEOUT_S,
            connector=None if far is None else through_tunnels.Through(far),
        )
        self.stack.callback(made.close)
        made.open()
        return made

    def body(self, made):
        found = b''
        response = made.send('GET', '/', b'', {})
        for data in made.chunks(response):
            found += data
            if len(found) >= len(HALF):
                self.has_first_part.set()
        return found

    def assert_broken_off(self, made):
        with self.assertRaises(engine.EngineError) as raised:
            self.body(made)
        self.assertEqual(verdict.Verdict.MAY_HAVE_RUN, raised.exception.known)
        self.assertTrue(raised.exception.is_cut)


def reset(connection):
    sockets.reset_on_close(connection)


class EarlyEndTest(EndTestCase):
    """Guards against half an answer that is passed on as a whole one."""

    @params(False, True)
    def test_the_backend_server_resets_its_connection(self, is_tunnel):
        far = self.serve_tunnels() if is_tunnel else None
        made = self.exchange(self.ends(reset), far)
        self.assert_broken_off(made)

    def test_the_serving_instance_stops(self):
        far = self.serve_tunnels()
        made = self.exchange(
            self.ends(lambda connection: self.server.stop()), far
        )
        # Not stopped twice.
        self.stack.pop_all()
        self.assert_broken_off(made)

    def test_the_serving_instance_is_killed(self):
        """The operating system ends its connections as regular ones."""

        def opened(head):
            line = next(
                each
                for each in head.split(b'\r\n')
                if each.lower().startswith(b'x-frames')
            )
            return b'HTTP/1.1 200 opened\r\n' + line + b'\r\n\r\n'

        far = self.far_instance(opened, _tunnel_socket.frame)
        self.assert_broken_off(self.exchange(None, far))

    def test_the_serving_instance_is_an_earlier_release(self):
        """It sends no frames, so nothing tells the end of the answer."""
        far = self.far_instance(lambda head: b'HTTP/1.1 200 opened\r\n\r\n')
        self.assert_broken_off(self.exchange(None, far))

    def test_this_instance_shuts_its_socket_down(self):
        """Reading a socket that was shut down looks like a regular end."""
        made = self.exchange(self.ends(lambda connection: None))
        response = made.send('GET', '/', b'', {})
        chunks = made.chunks(response)
        next(chunks)
        made.abort()
        with self.assertRaises(engine.EngineError):
            list(chunks)
        self.has_first_part.set()


class RegularEndTest(EndTestCase):
    @params(False, True)
    def test_a_whole_answer_without_length_arrives(self, is_tunnel):
        far = self.serve_tunnels() if is_tunnel else None
        made = self.exchange(HEAD + BODY, far)
        self.assertEqual(BODY, self.body(made))

    @params(
        (b'Content-Length: 3\r\n\r\nabc', b'abc'),
        (b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n', b'abc'),
        (b'Content-Length: 0\r\n\r\n', b''),
    )
    def test_an_answer_with_its_own_end_arrives(self, rest, body):
        made = self.exchange(
            b'HTTP/1.1 200 OK\r\n' + rest, self.serve_tunnels()
        )
        self.assertEqual(body, self.body(made))

    def test_events_are_passed_on_as_they_arrive(self):
        """Guards against the last bytes of an event that wait for the next."""

        def reply(connection):
            connection.sendall(HEAD + b'id: 1\n\n')
            self.has_first_part.wait(TIMEOUT_S)
            connection.sendall(b'id: 2\n\n')

        made = self.exchange(reply, self.serve_tunnels())
        chunks = made.chunks(made.send('GET', '/', b'', {}))
        self.assertEqual(b'id: 1\n\n', next(chunks))
        self.has_first_part.set()
        self.assertEqual(b'id: 2\n\n', b''.join(chunks))


class FrameTest(unittest.TestCase):
    """Guards against frames that are taken for a part of an answer."""

    BODY = b'0123456789' * 3
    SENT = (
        _tunnel_socket.frame(BODY[:1])
        + _tunnel_socket.frame(BODY[1:])
        + _tunnel_socket.END
    )

    def setUp(self):
        near, self.far = socket.socketpair()
        self.near = _tunnel_socket.TunnelSocket(fileno=near.detach())
        self.near.begin_frames()
        self.near.settimeout(TIMEOUT_S)
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)

    def read(self, size):
        found = b''
        while data := self.near.recv(size):
            found += data
        return found

    @params(1, 2, 7, 100)
    def test_frames_are_read_however_they_arrive(self, size):
        for each in self.SENT:
            self.far.sendall(bytes((each,)))
        self.far.close()
        self.assertEqual(self.BODY, self.read(size))

    def test_only_the_empty_frame_is_a_regular_end(self):
        for length in range(len(self.SENT)):
            with self.subTest(length=length):
                self.far.sendall(self.SENT[:length])
                self.far.close()
                with self.assertRaises(ConnectionResetError):
                    self.read(100)
                self.setUp()

    def test_a_time_out_within_a_length_loses_no_byte(self):
        self.far.sendall(self.SENT[:2])
        self.near.settimeout(0.001)
        with self.assertRaises(TimeoutError):
            self.near.recv(100)
        self.far.sendall(self.SENT[2:])
        self.near.settimeout(TIMEOUT_S)
        self.assertEqual(self.BODY, self.read(100))
