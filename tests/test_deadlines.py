"""Reads that come in bit by bit end by one deadline."""

import unittest
from unittest import mock

from dandeliongw.borders import _deadlines
from dandeliongw import clock


class Socket:
    """Gives one byte a read; keeps the time-outs that were set."""

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

    def test_each_read_gets_what_is_left(self):
        """Symptom: a caller that sends a byte a second is served for ever.

        Sequence: each byte comes within the time-out of the socket.
        Cause: that time-out begins anew with each read.
        """
        with self.sock.ending_in(3.0):
            for _ in range(3):
                self.sock.recv_into(bytearray(1))
                self.now += 1.0
            with self.assertRaisesRegex(TimeoutError, 'timed out'):
                self.sock.recv_into(bytearray(1))
        self.assertEqual([3.0, 2.0, 1.0, 30.0], self.inner.timeouts)

    def test_outside_of_it_the_time_out_is_the_socket_s_own(self):
        self.now += 1000.0
        self.sock.recv_into(bytearray(1))
        self.assertEqual([], self.inner.timeouts)
