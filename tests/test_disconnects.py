"""Callers that disconnect while no data is sent."""

import contextlib
import socket
import struct
import threading
import unittest

from nose2.tools import params

from dandeliongw.api import disconnects

TIMEOUT_S = 20


@contextlib.contextmanager
def connected():
    """Yield both ends of a TCP connection."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
    with caller, ours:
        yield caller, ours


def _disconnect(caller, how):
    if how == 'reset':
        linger = struct.pack('ii', 1, 0)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    if how == 'half':
        caller.shutdown(socket.SHUT_WR)
    else:
        caller.close()


class WatchTest(unittest.TestCase):
    @params('close', 'reset', 'half')
    def test_disconnected_caller_is_reported(self, how):
        """A disconnected caller must not keep a slot.

        The caller closes, resets or half-closes its connection while its
        call is queued; nothing is written then that could fail.
        """
        reported = []
        disconnected = threading.Event()

        def report(request_id):
            reported.append(request_id)
            disconnected.set()

        watching = disconnects.DisconnectWatcher(on_disconnect=report)
        watching.start()
        with connected() as (caller, ours):
            watching.add('r', ours)
            _disconnect(caller, how)
            self.assertTrue(disconnected.wait(TIMEOUT_S))
        watching.stop()
        self.assertEqual(set(reported), {'r'})

    def test_report_is_repeated_until_the_request_is_removed(self):
        """The first report may come before the request itself arrives.

        It would have no effect then, and the request of a caller that
        disconnected immediately would run to its end.
        """
        watching = disconnects.DisconnectWatcher(
            on_disconnect=lambda request_id: None
        )
        with connected() as (caller, ours):
            watching.add('r', ours)
            caller.close()
            first = []
            while not first:
                # A close takes time to arrive, also on one machine.
                first = watching.poll()
            again = [
                watching.poll()
                for _ in range(disconnects.POLLS_PER_NOTIFICATION)
            ]
            self.assertEqual(again, [[]] * (len(again) - 1) + [['r']])
            watching.remove('r')
            more = [watching.poll() for _ in range(len(again))]
        self.assertEqual(more, [[]] * len(again))

    def test_caller_that_sends_more_is_not_reported(self):
        watching = disconnects.DisconnectWatcher(
            on_disconnect=lambda request_id: None
        )
        with connected() as (caller, ours):
            watching.add('r', ours)
            caller.sendall(b'GET / HTTP/1.1')
            self.assertEqual(watching.poll(), [])

    def test_locally_closed_socket_counts_as_disconnected(self):
        watching = disconnects.DisconnectWatcher(
            on_disconnect=lambda request_id: None
        )
        with connected() as (_, ours):
            watching.add('r', ours)
            ours.close()
            self.assertEqual(watching.poll(), ['r'])

    def test_nothing_is_reported_after_the_stop(self):
        """At shutdown no caller must be reported as disconnected.

        The server shuts down its sockets then, which looks the same as
        callers that disconnect.
        """
        reported = []
        watching = disconnects.DisconnectWatcher(on_disconnect=reported.append)
        watching.start()
        with connected() as (_, ours):
            watching.add('r', ours)
            watching.stop()
            ours.shutdown(socket.SHUT_RD)
        self.assertEqual(reported, [])
