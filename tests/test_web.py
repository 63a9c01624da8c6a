"""An HTTP port that has all it can take answers at once."""

import http.client
import socket
import threading
import unittest
from unittest import mock

from dandeliongw.borders import _workers
from dandeliongw.borders import web
from dandeliongw import hosts
from dandeliongw import settings
from tools import local

TIMEOUT_S = 60


class HeldApplication:
    """Answers no call before ``may_answer`` is set."""

    def __init__(self):
        self.entered = threading.Semaphore(0)
        self.may_answer = threading.Event()

    def __call__(self, environ, start_response):
        self.entered.release()
        self.may_answer.wait(TIMEOUT_S)
        start_response('200 OK', [('Content-Length', '2')])
        return [b'ok']


class FullPortTest(unittest.TestCase):
    def setUp(self):
        listen = settings.Listen(host='127.0.0.1', port=0, threads=1, queue=1)
        self.port = self.enterContext(web.bound(listen, 'callers', 1.0))
        self.application = HeldApplication()
        self.addCleanup(self.application.may_answer.set)
        self.port.serve(self.application)
        self.queue = self.port._server.requests._queue

    def call(self):
        connection = http.client.HTTPConnection(
            '127.0.0.1', self.port.number, timeout=TIMEOUT_S
        )
        self.addCleanup(connection.close)
        connection.request('GET', '/')
        return connection

    def test_a_full_queue_is_answered_without_a_wait(self):
        """Symptom: every connection of a busy port stands still at times.

        Sequence: all threads are busy and the queue is full; one more
        connection comes, and others send their next call.
        Cause: the one thread that accepts and reads waits for room.
        """
        busy = self.call()
        self.application.entered.acquire(timeout=TIMEOUT_S)
        queued = self.call()
        local.wait_until('the second call is queued', self.queue.full)
        room = self.queue.not_full
        with mock.patch.object(room, 'wait', wraps=room.wait) as waited:
            self.assertEqual(503, self.call().getresponse().status)
        waited.assert_not_called()
        self.application.may_answer.set()
        for connection in (busy, queued):
            self.assertEqual(200, connection.getresponse().status)


class LimitsTest(unittest.TestCase):
    """Callers are held to the limits of the document in force."""

    def setUp(self):
        self.limits = hosts.BorderLimits()
        listen = settings.Listen(host='127.0.0.1', port=0, threads=2, queue=2)
        self.port = self.enterContext(web.bound(listen, 'callers', 1.0))
        application = HeldApplication()
        application.may_answer.set()
        # Else the library's own time-out would pass for the document's.
        self.port._server.timeout = 10 * TIMEOUT_S
        self.port.serve(application, lambda: self.limits)

    def connect(self):
        address = ('127.0.0.1', self.port.number)
        caller = socket.create_connection(address, timeout=TIMEOUT_S)
        self.addCleanup(caller.close)
        return caller

    def first_line(self, caller):
        with caller.makefile('rb') as answer:
            return answer.readline()

    def test_headers_that_are_too_long_are_refused(self):
        sent = b'GET / HTTP/1.1\r\nHost: a\r\nX-A: %s\r\n\r\n' % (b'x' * 500)
        caller = self.connect()
        caller.sendall(sent)
        self.assertIn(b'200', self.first_line(caller))
        self.limits = hosts.BorderLimits(max_header_bytes=200)
        caller = self.connect()
        caller.sendall(sent)
        self.assertIn(b'413', self.first_line(caller))

    def test_headers_that_do_not_end_are_not_waited_for(self):
        """Symptom: all threads of a port are busy, nearly no calls come.

        Sequence: a caller sends part of a call's headers, and no more.
        Cause: only the time-out of an idle connection held for it.
        """
        self.limits = hosts.BorderLimits(
            header_timeout_s=0.01, idle_timeout_s=10 * TIMEOUT_S
        )
        caller = self.connect()
        caller.sendall(b'GET / HTTP/1.1\r\nHost: ')
        self.assertIn(b'408', self.first_line(caller))

    def test_a_kept_connection_is_closed_when_it_was_idle_for_long(self):
        self.limits = hosts.BorderLimits(idle_timeout_s=0.01)
        caller = self.connect()
        caller.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        with caller.makefile('rb') as answer:
            self.assertTrue(answer.read().endswith(b'ok'))


class ThreadsTest(unittest.TestCase):
    """A port has as many threads as it has work for."""

    MOST = 5

    def setUp(self):
        listen = settings.Listen(
            host='127.0.0.1', port=0, threads=self.MOST, queue=self.MOST
        )
        self.port = self.enterContext(web.bound(listen, 'callers', 1.0))
        self.application = HeldApplication()
        self.addCleanup(self.application.may_answer.set)

    def serve(self):
        self.port.serve(self.application)
        self.pool = self.port._server.requests

    def call(self):
        connection = http.client.HTTPConnection(
            '127.0.0.1', self.port.number, timeout=TIMEOUT_S
        )
        self.addCleanup(connection.close)
        connection.request('GET', '/', headers={'Connection': 'close'})
        return connection

    def hold(self, count):
        """Let some calls be in hand at one time."""
        calls = [self.call() for _ in range(count)]
        for _ in calls:
            self.assertTrue(self.application.entered.acquire(timeout=60))
        return calls

    def test_an_idle_port_has_few_threads(self):
        """Symptom: two hundred idle instances fill a machine's memory.

        Sequence: they start, and no call comes.
        Cause: a port starts all threads that it may ever need.
        """
        self.serve()
        self.assertEqual(_workers.FEWEST, self.pool.size)

    def test_threads_come_with_the_calls_up_to_the_bound(self):
        self.serve()
        calls = self.hold(self.MOST)
        self.assertEqual(self.MOST, self.pool.size)
        calls.append(self.call())
        local.wait_until('one more call waits', lambda: self.pool.qsize == 1)
        self.assertEqual(self.MOST, self.pool.size)
        self.application.may_answer.set()
        for connection in calls:
            self.assertEqual(200, connection.getresponse().status)

    def test_a_thread_is_used_again(self):
        self.serve()
        self.application.may_answer.set()
        for _ in range(3 * self.MOST):
            self.assertEqual(200, self.call().getresponse().status)
            local.wait_until(
                'all threads are idle',
                lambda: self.pool.idle == self.pool.size,
            )
        self.assertEqual(_workers.FEWEST, self.pool.size)

    def test_threads_that_stay_idle_end(self):
        with mock.patch.object(_workers, 'LINGER_S', 0.01):
            self.serve()
            calls = self.hold(self.MOST)
            self.application.may_answer.set()
            for connection in calls:
                self.assertEqual(200, connection.getresponse().status)
            local.wait_until(
                'the threads have ended',
                lambda: self.pool.size == _workers.FEWEST,
            )
            statistics = self.port._server.stats['Worker Threads']
            self.assertLessEqual(len(statistics), _workers.FEWEST)
            self.assertEqual(200, self.call().getresponse().status)
