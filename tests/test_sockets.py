"""What the operating system knows of a connection."""

import socket
import unittest

from dandeliongw import sockets
from tools import local


class SocketsTest(unittest.TestCase):
    def setUp(self):
        self.listener = self.enterContext(socket.socket())
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen()
        self.near = self.enterContext(socket.socket())
        self.near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_000_000)
        self.near.connect(self.listener.getsockname())
        self.far, _ = self.listener.accept()
        self.addCleanup(self.far.close)

    def test_what_is_received_is_acknowledged(self):
        self.near.sendall(b'x' * 100)
        local.wait_until(
            'all is acknowledged',
            lambda: not sockets.unacknowledged_bytes(self.near),
        )

    def test_what_does_not_fit_is_not(self):
        self.near.sendall(b'x' * 500_000)
        self.assertGreater(sockets.unacknowledged_bytes(self.near), 0)

    def test_a_closed_connection_has_none(self):
        self.near.close()
        self.assertEqual(0, sockets.unacknowledged_bytes(self.near))

    def test_a_reset_discards_what_was_not_delivered(self):
        self.near.sendall(b'x' * 500_000)
        sockets.reset_on_close(self.near)
        self.near.close()
        with self.assertRaises(ConnectionResetError):
            while self.far.recv(65536):
                pass
