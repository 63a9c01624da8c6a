"""Connections to backend servers through another instance, on sockets."""

import contextlib
import queue
import socket
import unittest

from nose2.tools import params

from dandeliongw import tunnels
from tests import raw_server
from tools import local

TIMEOUT_S = raw_server.TIMEOUT_S
SECRET = b'secret'


def address_of(server):
    host, port = server.getsockname()
    return tunnels.Address(host=host, port=port)


class TunnelTestCase(unittest.TestCase):
    """Base class: an instance that serves tunnels, and a backend server."""

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.backend = self.stack.enter_context(
            socket.create_server(('127.0.0.1', 0))
        )
        self.backend.settimeout(TIMEOUT_S)
        self.target = address_of(self.backend)

    def serve(self, *, secret=None, may_connect=lambda address: True):
        server = self.stack.enter_context(
            tunnels.serving(
                host='127.0.0.1',
                port=0,
                secret=secret,
                may_connect=may_connect,
            )
        )
        self.server = server
        return tunnels.Address(host=server.host, port=server.port)

    def open(self, far, *, target=None, secret=None):
        opened = tunnels.open_through(
            far, target or self.target, timeout_s=TIMEOUT_S, secret=secret
        )
        if opened.connection is not None:
            self.stack.callback(opened.connection.close)
        return opened

    def opened(self):
        """Return both ends of a tunnel."""
        self.far = self.serve()
        self.tunnel = self.open(self.far)
        near = self.tunnel.connection
        far, _ = self.backend.accept()
        self.stack.callback(far.close)
        far.settimeout(TIMEOUT_S)
        return near, far


class DepartureTest(TunnelTestCase):
    """Guards against what a tunnel delivers long after a leave."""

    def test_only_what_is_not_received_is_discarded(self):
        self.backend.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        near, far = self.opened()
        other = self.open(self.far).connection
        other_far, _ = self.backend.accept()
        self.stack.callback(other_far.close)
        other.sendall(b'question')
        self.assertEqual(b'question', other_far.recv(100))
        near.sendall(b'x' * 500_000)
        self.server.note_departure(self.target)
        near.settimeout(TIMEOUT_S)
        with contextlib.suppress(ConnectionResetError):
            self.assertEqual(b'', near.recv(1))
        with self.assertRaises(ConnectionResetError):
            while far.recv(65536):
                pass
        other_far.sendall(b'answer')
        self.assertEqual(b'answer', other.recv(100))


class AbandonedTest(TunnelTestCase):
    """Guards against calls that arrive after they were given up."""

    def test_what_was_not_delivered_is_discarded(self):
        self.backend.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        near, far = self.opened()
        near.sendall(b'x' * 500_000)
        near.close()
        with self.assertRaises(ConnectionResetError):
            while far.recv(65536):
                pass


class ForwardTest(TunnelTestCase):
    def test_bytes_pass_both_ways(self):
        near, far = self.opened()
        near.sendall(b'question')
        self.assertEqual(b'question', far.recv(100))
        far.sendall(b'answer')
        self.assertEqual(b'answer', near.recv(100))
        self.assertEqual(1, self.server.open_count)

    def test_what_a_backend_server_sent_before_its_end_arrives(self):
        near, far = self.opened()
        far.sendall(b'x' * 200_000)
        far.close()
        found = b''
        while data := near.recv(65536):
            found += data
        self.assertEqual(b'x' * 200_000, found)

    def test_an_instance_of_an_earlier_release_gets_no_frames(self):
        far = self.serve()
        request = f'CONNECT {self.target} HTTP/1.1\r\n\r\n'.encode()
        opened = b'HTTP/1.1 200 opened\r\n\r\n'
        with socket.create_connection((far.host, far.port)) as near:
            near.settimeout(TIMEOUT_S)
            near.sendall(request)
            self.assertEqual(opened, near.recv(len(opened)))
            connection, _ = self.backend.accept()
            with connection:
                connection.sendall(b'answer')
            self.assertEqual(b'answer', near.recv(100))
            self.assertEqual(b'', near.recv(100))

    @params(False, True)
    def test_the_end_of_a_call_reaches_the_backend_server(self, is_reset):
        """Guards against servers that work on for a caller who has gone."""
        near, far = self.opened()
        near.sendall(b'question')
        far.recv(100)
        if is_reset:
            near.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                b'\x01\x00\x00\x00\x00\x00\x00\x00',
            )
        near.close()
        with contextlib.suppress(ConnectionResetError):
            self.assertEqual(b'', far.recv(100))

    def test_an_end_of_the_instance_ends_its_tunnels(self):
        near, far = self.opened()
        self.server.stop()
        self.server.stop = lambda: None
        for each in (near, far):
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(b'', each.recv(100))


class OutcomeTest(TunnelTestCase):
    def test_a_refusal_is_told_apart_from_a_lost_path(self):
        far = self.serve()
        (port,) = local.free_ports(1)
        refused = tunnels.Address(host='127.0.0.1', port=port)
        self.assertEqual(
            tunnels.Outcome.REFUSED, self.open(far, target=refused).outcome
        )
        full = self.stack.enter_context(
            socket.create_server(('127.0.0.1', 0), backlog=0)
        )
        for _ in range(4):
            filler = self.stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        self.assertEqual(
            tunnels.Outcome.UNREACHABLE,
            self.open(far, target=address_of(full)).outcome,
        )

    def test_one_that_goes_through_others_itself_opens_none(self):
        """Guards against tunnels that lead in a circle."""
        far = self.serve(may_connect=lambda address: False)
        self.assertEqual(tunnels.Outcome.UNREACHABLE, self.open(far).outcome)

    @params(
        (None, None, tunnels.Outcome.OPENED),
        (SECRET, SECRET, tunnels.Outcome.OPENED),
        (SECRET, None, tunnels.Outcome.UNAVAILABLE),
        (SECRET, b'other', tunnels.Outcome.UNAVAILABLE),
    )
    def test_only_instances_of_the_system_are_served(
        self, own, theirs, expected
    ):
        far = self.serve(secret=own)
        self.assertEqual(expected, self.open(far, secret=theirs).outcome)

    def test_one_that_shuts_down_opens_no_more(self):
        near, far = self.opened()
        self.server.drain()
        again = tunnels.Address(host=self.server.host, port=self.server.port)
        self.assertEqual(tunnels.Outcome.UNAVAILABLE, self.open(again).outcome)
        near.sendall(b'question')
        self.assertEqual(b'question', far.recv(100))

    def test_an_instance_that_is_gone(self):
        (port,) = local.free_ports(1)
        gone = tunnels.Address(host='127.0.0.1', port=port)
        self.assertEqual(tunnels.Outcome.UNAVAILABLE, self.open(gone).outcome)

    @params(
        b'GET / HTTP/1.1\r\n\r\n',
        b'CONNECT nowhere HTTP/1.1\r\n\r\n',
        b'CONNECT 127.0.0.1:x HTTP/1.1\r\n\r\n',
        b'x' * 3 * tunnels.CHUNK_BYTES,
    )
    def test_what_is_no_request_for_a_tunnel_is_refused(self, sent):
        far = self.serve()
        with socket.create_connection((far.host, far.port)) as made:
            made.settimeout(TIMEOUT_S)
            made.sendall(sent)
            found = queue.SimpleQueue()
            with contextlib.suppress(ConnectionResetError):
                found.put(made.recv(100))
                self.assertIn(b' 503 ', found.get())
        self.assertEqual(0, self.server.open_count)
