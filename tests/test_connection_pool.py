"""The connection pool: which connections are reused."""

import contextlib
import socket
import unittest

import urllib3.connection

from dandeliongw import clock
from dandeliongw import connection_pool


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.listener = self.stack.enter_context(
            socket.create_server(('127.0.0.1', 0))
        )
        self.port = self.listener.getsockname()[1]
        self.pool = connection_pool.ConnectionPool()

    def connect(self):
        """Return both ends of a new connection."""
        made = urllib3.connection.HTTPConnection('127.0.0.1', self.port)
        made.connect()
        self.stack.callback(made.close)
        other, _ = self.listener.accept()
        self.stack.callback(other.close)
        return made, other

    def take(self):
        return self.pool.take('127.0.0.1', self.port)

    def test_a_pooled_connection_is_returned_once(self):
        made, _ = self.connect()
        self.pool.give(made, 'timeout=60')
        self.assertIs(self.take(), made)
        self.assertIsNone(self.take())

    def test_connections_over_a_lost_path_are_dropped(self):
        made, _ = self.connect()
        self.pool.give(made, 'timeout=60')
        self.pool.drop('127.0.0.1', self.port)
        self.assertIsNone(self.take())
        self.assertIsNone(made.sock)

    def test_a_connection_with_unread_bytes_is_not_reused(self):
        """Guards against a caller who gets the answer to another call.

        A backend server sends an answer twice. After the first, the connection
        goes back to the pool; the next call on it would read the second.
        """
        made, other = self.connect()
        other.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
        made.sock.recv(1, socket.MSG_PEEK)
        self.pool.give(made, 'timeout=60')
        self.assertIsNone(self.take())

    def test_a_connection_closed_by_its_other_end_is_not_reused(self):
        """Guards against failures of calls that may not be retried.

        They would occur under low load too.
        """
        made, other = self.connect()
        other.close()
        made.sock.recv(1, socket.MSG_PEEK)
        self.pool.give(made, 'timeout=60')
        self.assertIsNone(self.take())

    def test_a_connection_about_to_be_closed_is_not_reused(self):
        made, _ = self.connect()
        self.pool.give(made, 'timeout=1')
        self.assertIsNone(self.take())
        self.assertIsNone(made.sock)

    def test_the_oldest_connection_is_evicted(self):
        kept = [self.connect()[0] for _ in range(connection_pool.MAX_IDLE + 1)]
        for each in kept:
            self.pool.give(each, '')
        taken = [self.take() for _ in range(connection_pool.MAX_IDLE)]
        self.assertNotIn(kept[0], taken)
        self.assertIsNone(self.take())


class ClockTest(unittest.TestCase):
    def test_it_never_goes_back(self):
        before = clock.now()
        self.assertLessEqual(before, clock.now())
