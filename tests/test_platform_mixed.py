"""Broken answers of each kind of step, directly and through a tunnel."""

import contextlib
import itertools
import socket
import threading
import unittest

import msgspec
from nose2.tools import params

from dandeliongw import connection_pool
from dandeliongw import engine
from dandeliongw import sockets
from tests import cut_answers
from tests import on_platform
from tests import spoilt_answers
from tests import test_platform_backend_calls as calls
from tests import through_tunnels

from adapter import backend_calls

assert on_platform.FOLDER.exists()

SEALED = b'X-Request-Id: c1\r\nX-Response-Seal: s\r\n'
#: By kind of step, the body of a whole answer.
BODIES = {
    'prefill': b'{"handle": "h", "tokens": 10, "version": 1}',
    'stream': calls.EVENTS,
    'call': b'some bytes',
}
WAYS = tuple(itertools.product(BODIES, (False, True)))


class MixedTestCase(unittest.TestCase):
    """Base class: runs a step on a server that is reached in one of two ways.

    It returns what a caller gets of a whole answer, or raises.
    """

    def run_step(self, step, url, is_tunnelled, body=b'prompt'):
        with contextlib.ExitStack() as stack:
            connector = None
            if is_tunnelled:
                connector = stack.enter_context(through_tunnels.connecting())
            made = backend_calls.BackendCalls(
                payload=msgspec.structs.replace(calls.PAYLOAD, body=body),
                metadata=calls.METADATA,
                pool=connection_pool.ConnectionPool(),
                connector=connector,
                timeouts=calls.TIMEOUTS,
            )
            observer = engine.ignore_rate_limit
            if step == 'call':
                plain = made.plain_service(url, 'i-1', 20.0, None, observer)
                return plain.call(
                    method='', path='', body=b'', headers={}, max_bytes=1000
                )
            model = made.model_engine(url, 'i-1', 0, None, observer)
            ids = {'stream_id': 'r', 'attempt_id': 'r.1'}
            if step == 'prefill':
                return model.prefill(
                    **ids, prompt='', priority=0, fence=1, deadline_s=20.0
                )
            model.import_kv(
                **ids,
                kv='h1',
                source_url='http://10.0.0.1:80',
                fence=1,
                deadline_s=20.0,
            )
            return list(
                model.decode(
                    **ids, max_tokens=10, from_offset=0, deadline_s=20.0
                )
            )


class EarlyAnswerTest(MixedTestCase):
    """Guards against a part of an answer that passes as a whole one.

    A server answers an upload at once, without a length, and resets the
    connection while the upload is being written.
    """

    def serve(self, listener, body, is_slow):
        connection, _ = listener.accept()
        with connection:
            connection.recv(100)
            head = b'HTTP/1.1 200 OK\r\n' + SEALED + b'\r\n'
            connection.sendall(head + body)
            if is_slow:
                # Until the answer was read, or all of the upload is written.
                connection.settimeout(0.2)
                with contextlib.suppress(TimeoutError):
                    while connection.recv(65536):
                        pass
            sockets.reset_on_close(connection)

    @params(
        *itertools.product(
            BODIES, (False, True), (1000, 8_000_000), (False, True)
        )
    )
    def test_it_is_no_whole_answer(self, step, is_tunnelled, size, is_slow):
        listener = self.enterContext(socket.create_server(('127.0.0.1', 0)))
        server = threading.Thread(
            target=self.serve, args=(listener, BODIES[step], is_slow)
        )
        server.start()
        self.addCleanup(server.join)
        url = f'http://127.0.0.1:{listener.getsockname()[1]}'
        with self.assertRaises(engine.EngineError):
            self.run_step(step, url, is_tunnelled, bytes(size))


class SpoiltHeadTest(MixedTestCase):
    """Guards against answers with a broken head that pass as sound ones.

    A status of 000 is among them.
    """

    def setUp(self):
        self.server = self.enterContext(cut_answers.serving())

    @params(*WAYS)
    def test_it_is_no_answer(self, step, is_tunnelled):
        body = BODIES[step]
        passed = []
        for name, spoilt in spoilt_answers.HEADS.items():
            self.server.sent = (
                spoilt.replace(spoilt_answers.BODY, body)
                .replace(b': 20', b': %d' % len(body))
                .replace(b'\r\n', b'\r\n' + SEALED, 1)
            )
            try:
                found = self.run_step(step, self.server.url, is_tunnelled)
            except engine.EngineError:
                continue
            passed.append((name, found))
        self.assertEqual([], passed)

    @params(*WAYS)
    def test_a_sound_one_is_an_answer(self, step, is_tunnelled):
        body = BODIES[step]
        length = b'Content-Length: %d\r\n\r\n' % len(body)
        self.server.sent = b'HTTP/1.1 200 OK\r\n' + SEALED + length + body
        found = self.run_step(step, self.server.url, is_tunnelled)
        if step == 'stream':
            self.assertTrue(found[-1].is_end)
