"""Callers who leave while no byte flows."""

import contextlib
import socket
import struct
import threading
import unittest

from nose2.tools import params

from dandeliongw.borders import watch

TIMEOUT_S = 20


@contextlib.contextmanager
def connected():
    """Give both ends of a TCP connection."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
    with caller, ours:
        yield caller, ours


def _leave(caller, how):
    if how == 'reset':
        linger = struct.pack('ii', 1, 0)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    if how == 'half':
        caller.shutdown(socket.SHUT_WR)
    else:
        caller.close()


class Watching(unittest.TestCase):
    @params('close', 'reset', 'half')
    def test_a_caller_that_left_is_told(self, how):
        """Symptom: a slot waits for a caller who is not there.

        Sequence: the caller closes, resets or half-closes in the queue.
        Cause: nothing is written that could fail.
        """
        told = []
        gone = threading.Event()

        def note(request_id):
            told.append(request_id)
            gone.set()

        watching = watch.Watch(on_gone=note)
        watching.start()
        with connected() as (caller, ours):
            watching.add('r', ours)
            _leave(caller, how)
            self.assertTrue(gone.wait(TIMEOUT_S))
        watching.stop()
        self.assertEqual(set(told), {'r'})

    def test_news_that_came_too_early_is_told_again(self):
        """Symptom: a request runs to its end for a caller who left at once.

        Sequence: watched; gone; told, before the request itself is known.
        Cause: each caller's leaving would be told once.
        """
        watching = watch.Watch(on_gone=lambda request_id: None)
        with connected() as (caller, ours):
            watching.add('r', ours)
            caller.close()
            looks = []
            while not looks:
                # The news of a close takes its time, also on one machine.
                looks = watching.look()
            again = [watching.look() for _ in range(watch.LOOKS_PER_TELLING)]
            self.assertEqual(again, [[]] * (len(again) - 1) + [['r']])
            watching.remove('r')
            more = [watching.look() for _ in range(len(again))]
        self.assertEqual(more, [[]] * len(again))

    def test_callers_that_wait_or_send_more_have_not_gone(self):
        watching = watch.Watch(on_gone=lambda request_id: None)
        with connected() as (caller, ours):
            watching.add('r', ours)
            caller.sendall(b'GET / HTTP/1.1')
            self.assertEqual(watching.look(), [])

    def test_a_socket_that_we_closed_counts_as_gone(self):
        watching = watch.Watch(on_gone=lambda request_id: None)
        with connected() as (_, ours):
            watching.add('r', ours)
            ours.close()
            self.assertEqual(watching.look(), ['r'])

    def test_nothing_is_told_after_the_stop(self):
        """Symptom: at a shutdown every caller seems to leave at once.

        Sequence: the server ends its sockets; the watch sees them end.
        Cause: both look the same from here.
        """
        told = []
        watching = watch.Watch(on_gone=told.append)
        watching.start()
        with connected() as (_, ours):
            watching.add('r', ours)
            watching.stop()
            ours.shutdown(socket.SHUT_RD)
        self.assertEqual(told, [])
