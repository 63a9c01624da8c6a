"""Queue, limits and threads of an HTTP port."""

import http.client
import socket
import threading
import unittest
from unittest import mock

from dandeliongw.api import _workers
from dandeliongw.api import http_ports
from dandeliongw import hosts
from dandeliongw import settings
from tools import local

TIMEOUT_S = 60


class HeldApplication:
    """Blocks each call until ``may_answer`` is set."""

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
        self.port = self.enterContext(
            http_ports.open_port(listen, 'callers', 1.0)
        )
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

    def test_connection_over_a_full_queue_gets_503_at_once(self):
        """The accept loop must not wait for space in the queue.

        It also polls persistent connections; with all threads busy and the
        queue full, the next connection would stall all others.
        """
        busy = self.call()
        self.application.entered.acquire(timeout=TIMEOUT_S)
        queued = self.call()
        local.wait_until('the second call is queued', self.queue.full)
        not_full = self.queue.not_full
        with mock.patch.object(
            not_full, 'wait', wraps=not_full.wait
        ) as waited:
            self.assertEqual(503, self.call().getresponse().status)
        waited.assert_not_called()
        self.application.may_answer.set()
        for connection in (busy, queued):
            self.assertEqual(200, connection.getresponse().status)


class LimitsTest(unittest.TestCase):
    """The limits of the current document apply to callers."""

    def setUp(self):
        self.limits = hosts.BorderLimits()
        listen = settings.Listen(host='127.0.0.1', port=0, threads=2, queue=2)
        self.port = self.enterContext(
            http_ports.open_port(listen, 'callers', 1.0)
        )
        application = HeldApplication()
        application.may_answer.set()
        # Otherwise cheroot's own timeout could end the connection, not the
        # document's.
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

    def test_headers_over_the_limit_are_refused(self):
        sent = b'GET / HTTP/1.1\r\nHost: a\r\nX-A: %s\r\n\r\n' % (b'x' * 500)
        caller = self.connect()
        caller.sendall(sent)
        self.assertIn(b'200', self.first_line(caller))
        self.limits = hosts.BorderLimits(max_header_bytes=200)
        caller = self.connect()
        caller.sendall(sent)
        self.assertIn(b'413', self.first_line(caller))

    def test_incomplete_headers_time_out(self):
        """Callers must not block threads by sending incomplete headers.

        With only the idle timeout, such callers could keep all threads of a
        port busy for long.
        """
        self.limits = hosts.BorderLimits(
            header_timeout_s=0.01, idle_timeout_s=10 * TIMEOUT_S
        )
        caller = self.connect()
        caller.sendall(b'GET / HTTP/1.1\r\nHost: ')
        self.assertIn(b'408', self.first_line(caller))

    def test_persistent_connection_is_closed_after_the_idle_timeout(self):
        self.limits = hosts.BorderLimits(idle_timeout_s=0.01)
        caller = self.connect()
        caller.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        with caller.makefile('rb') as answer:
            self.assertTrue(answer.read().endswith(b'ok'))


class ThreadsTest(unittest.TestCase):
    """The number of threads follows the load."""

    MAX_THREADS = 5

    def setUp(self):
        listen = settings.Listen(
            host='127.0.0.1',
            port=0,
            threads=self.MAX_THREADS,
            queue=self.MAX_THREADS,
        )
        self.port = self.enterContext(
            http_ports.open_port(listen, 'callers', 1.0)
        )
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
        """Start calls and wait until the application has all of them."""
        calls = [self.call() for _ in range(count)]
        for _ in calls:
            self.assertTrue(self.application.entered.acquire(timeout=60))
        return calls

    def test_idle_port_has_the_minimum_of_threads(self):
        """Idle instances must not start their maximum number of threads.

        Without this, two hundred idle instances fill a machine's memory.
        """
        self.serve()
        self.assertEqual(_workers.MIN_THREADS, self.pool.size)

    def test_threads_are_started_up_to_the_maximum(self):
        self.serve()
        calls = self.hold(self.MAX_THREADS)
        self.assertEqual(self.MAX_THREADS, self.pool.size)
        calls.append(self.call())
        local.wait_until('one more call waits', lambda: self.pool.qsize == 1)
        self.assertEqual(self.MAX_THREADS, self.pool.size)
        self.application.may_answer.set()
        for connection in calls:
            self.assertEqual(200, connection.getresponse().status)

    def test_idle_thread_is_reused(self):
        self.serve()
        self.application.may_answer.set()
        for _ in range(3 * self.MAX_THREADS):
            self.assertEqual(200, self.call().getresponse().status)
            local.wait_until(
                'all threads are idle',
                lambda: self.pool.idle == self.pool.size,
            )
        self.assertEqual(_workers.MIN_THREADS, self.pool.size)

    def test_idle_threads_end(self):
        with mock.patch.object(_workers, 'IDLE_TIMEOUT_S', 0.01):
            self.serve()
            calls = self.hold(self.MAX_THREADS)
            self.application.may_answer.set()
            for connection in calls:
                self.assertEqual(200, connection.getresponse().status)
            local.wait_until(
                'the threads have ended',
                lambda: self.pool.size == _workers.MIN_THREADS,
            )
            statistics = self.port._server.stats['Worker Threads']
            self.assertLessEqual(len(statistics), _workers.MIN_THREADS)
            self.assertEqual(200, self.call().getresponse().status)
