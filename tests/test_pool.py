"""Kept connections: which are fit for another call."""

import contextlib
import socket
import unittest

import urllib3.connection

from dandeliongw import clock
from dandeliongw import pool


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.listener = self.stack.enter_context(
            socket.create_server(('127.0.0.1', 0))
        )
        self.port = self.listener.getsockname()[1]
        self.pool = pool.Pool()

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

    def test_a_kept_one_is_given_once(self):
        made, _ = self.connect()
        self.pool.give(made, 'timeout=60')
        self.assertIs(self.take(), made)
        self.assertIsNone(self.take())

    def test_one_with_unread_bytes_is_not_used(self):
        """Symptom: a caller gets the answer to somebody else's call.

        Sequence: a backend server sends an answer twice; its connection is
        kept after the first; the next call goes over it.
        Cause: the second answer waits where the next one is expected.
        """
        made, other = self.connect()
        other.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
        made.sock.recv(1, socket.MSG_PEEK)
        self.pool.give(made, 'timeout=60')
        self.assertIsNone(self.take())

    def test_one_that_the_other_end_closed_is_not_used(self):
        """Symptom: calls that may not be repeated fail, on quiet days too."""
        made, other = self.connect()
        other.close()
        made.sock.recv(1, socket.MSG_PEEK)
        self.pool.give(made, 'timeout=60')
        self.assertIsNone(self.take())

    def test_one_that_is_about_to_be_closed_is_not_used(self):
        made, _ = self.connect()
        self.pool.give(made, 'timeout=1')
        self.assertIsNone(self.take())
        self.assertIsNone(made.sock)

    def test_the_oldest_gives_way(self):
        kept = [self.connect()[0] for _ in range(pool.MOST_IDLE + 1)]
        for each in kept:
            self.pool.give(each, '')
        taken = [self.take() for _ in range(pool.MOST_IDLE)]
        self.assertNotIn(kept[0], taken)
        self.assertIsNone(self.take())


class ClockTest(unittest.TestCase):
    def test_it_never_goes_back(self):
        before = clock.now()
        self.assertLessEqual(before, clock.now())
