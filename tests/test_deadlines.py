"""A deadline limits the total time of several reads."""

import unittest
from unittest import mock

from dandeliongw.api import _deadlines
from dandeliongw import clock


class Socket:
    """Returns one byte for each read; records the timeouts that were set."""

    def __init__(self):
        self.timeouts = []
        self.timeout_s = 30.0

    def gettimeout(self):
        return self.timeout_s

    def settimeout(self, seconds):
        self.timeout_s = seconds
        self.timeouts.append(seconds)

    def recv_into(self, buffer):
        buffer[:1] = b'x'
        return 1


class DeadlineSocketTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.enterContext(mock.patch.object(clock, 'now', lambda: self.now))
        self.inner = Socket()
        self.sock = _deadlines.DeadlineSocket(sock=self.inner)

    def test_timeout_of_each_read_is_the_remaining_time(self):
        """A caller that sends one byte a second must time out, too.

        Each byte comes within the timeout of the socket, which restarts
        with each read.
        """
        with self.sock.deadline_in(3.0):
            for _ in range(3):
                self.sock.recv_into(bytearray(1))
                self.now += 1.0
            with self.assertRaisesRegex(TimeoutError, 'timed out'):
                self.sock.recv_into(bytearray(1))
        self.assertEqual([3.0, 2.0, 1.0, 30.0], self.inner.timeouts)

    def test_without_a_deadline_the_timeout_is_unchanged(self):
        self.now += 1000.0
        self.sock.recv_into(bytearray(1))
        self.assertEqual([], self.inner.timeouts)
