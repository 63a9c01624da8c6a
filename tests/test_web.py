"""An HTTP port that has all it can take answers at once."""

import http.client
import threading
import unittest
from unittest import mock

from dandeliongw.borders import web
from dandeliongw import settings
from tools import local

PATIENCE_S = 60


class HeldApplication:
    """Answers no call before ``may_answer`` is set."""

    def __init__(self):
        self.entered = threading.Semaphore(0)
        self.may_answer = threading.Event()

    def __call__(self, environ, start_response):
        self.entered.release()
        self.may_answer.wait(PATIENCE_S)
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
            '127.0.0.1', self.port.number, timeout=PATIENCE_S
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
        self.application.entered.acquire(timeout=PATIENCE_S)
        queued = self.call()
        local.wait_until('the second call is queued', self.queue.full)
        room = self.queue.not_full
        with mock.patch.object(room, 'wait', wraps=room.wait) as waited:
            self.assertEqual(503, self.call().getresponse().status)
        waited.assert_not_called()
        self.application.may_answer.set()
        for connection in (busy, queued):
            self.assertEqual(200, connection.getresponse().status)
