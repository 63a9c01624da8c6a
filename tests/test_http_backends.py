"""What a backend server's answer proves about a call, over real sockets."""

import socket
import struct
import threading
import unittest

from nose2.tools import params

from dandeliongw import engine
from dandeliongw import http_backends
from dandeliongw import verdict
from tests import raw_server

NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN
RAN = verdict.Verdict.RAN
OK = raw_server.answer(b'booked', '200 OK', 'Content-Type: text/plain')


def model_engine(url, stall_s=20.0, first_byte_s=20.0):
    return http_backends.HttpEngine(
        url=url, connect_s=20.0, first_byte_s=first_byte_s, stall_s=stall_s
    )


def prefill(url):
    return model_engine(url).prefill(
        stream_id='r',
        attempt_id='r.1',
        prompt='p',
        priority=0,
        fence=1,
        deadline_s=9.0,
    )


def decode(adapter):
    return adapter.decode(
        stream_id='r',
        attempt_id='r.1',
        max_tokens=9,
        from_offset=2,
        deadline_s=9.0,
    )


def book(url, max_bytes=100, timeout_s=20.0):
    service = http_backends.PlainService(
        url=url, connect_s=20.0, timeout_s=timeout_s
    )
    return service.call(
        method='POST',
        path='/bookings',
        body=b'{}',
        headers={'X-Attempt-Id': 'r.1'},
        max_bytes=max_bytes,
    )


def reset(connection):
    """Make the connection end with a reset, as when a process dies."""
    linger = struct.pack('ii', 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class PlainCalls(unittest.TestCase):
    def fails(self, reply, **options):
        with raw_server.serving(reply) as server:
            with self.assertRaises(engine.EngineError) as caught:
                book(server.url, **options)
        return caught.exception

    def test_a_complete_answer(self):
        with raw_server.serving(OK) as server:
            reply = book(server.url)
        self.assertEqual((reply.status, reply.body), (200, b'booked'))
        self.assertEqual(server.calls[0][1]['x-attempt-id'], 'r.1')
        self.assertEqual(server.calls[0][1]['connection'], 'close')

    def test_a_refused_connect_proves_that_nothing_ran(self):
        with self.assertRaises(engine.EngineError) as caught:
            book(raw_server.refused_url())
        self.assertEqual(caught.exception.known, NOT_RUN)
        self.assertEqual(caught.exception.reason, 'connect_refused')

    @params(
        (reset,),
        (b'',),
        (b'nonsense\r\n\r\n',),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf',),
        (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf',),
        (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',),
        (raw_server.answer({}, '200 OK', 'X: ' + 'x' * 70000),),
    )
    def test_a_call_that_broke_may_have_run(self, reply):
        """Guards against calls that run twice or end without a verdict.

        The whole call was sent; its answer is truncated or not HTTP. The HTTP
        library does not wrap each of these errors, and none may count as proof
        that the call did not run.
        """
        self.assertEqual(self.fails(reply).known, MAY_HAVE_RUN)

    @params(
        (reset, True),
        (b'', True),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf', True),
        (raw_server.answer({}, '503 Busy', 'X-Not-Run: true'), False),
    )
    def test_a_lost_connection_differs_from_an_answer(self, reply, cut):
        self.assertEqual(cut, self.fails(reply).is_cut)

    def test_a_call_that_stalled_may_have_run(self):
        """Guards against false stalls of calls longer than a second.

        The HTTP library restores the connection timeout when it sends the
        request; the read timeout must apply to the answer.
        """
        with raw_server.serving(lambda c: server.hang()(c)) as server:
            with self.assertRaises(engine.StalledError) as caught:
                book(server.url, timeout_s=0.05)
        self.assertEqual(caught.exception.known, MAY_HAVE_RUN)
        self.assertFalse(caught.exception.is_cut)

    def test_only_the_service_itself_can_state_that_it_did_not_run(self):
        said = raw_server.answer(b'', '503 Busy', 'X-Not-Run: true')
        error = self.fails(said)
        self.assertEqual((error.known, error.reason), (NOT_RUN, 'busy'))
        for headers in ((), ('X-Not-Run: false',)):
            reply = raw_server.answer(b'', '503 Busy', *headers)
            with raw_server.serving(reply) as server:
                self.assertEqual(book(server.url).status, 503)

    def test_an_answer_that_is_too_long_ran(self):
        self.assertEqual(self.fails(OK, max_bytes=5).known, RAN)


class Engines(unittest.TestCase):
    def test_an_engine_gets_the_ids_and_the_remaining_time(self):
        done = {'kv': 'kv1', 'tokens': 5}
        with raw_server.serving(raw_server.answer(done)) as server:
            self.assertEqual(prefill(server.url).kv, 'kv1')
        ((_, headers, _),) = server.calls
        (body,) = server.bodies()
        self.assertEqual((body['stream_id'], body['attempt_id']), ('r', 'r.1'))
        self.assertEqual(headers['x-deadline-s'], '9.000')

    @params(
        ('503 Busy', {'reason': 'busy'}, NOT_RUN),
        ('409 Conflict', {'reason': 'fenced'}, NOT_RUN),
        ('409 Conflict', {'reason': 'cancelled'}, MAY_HAVE_RUN),
        ('500 Error', {}, MAY_HAVE_RUN),
        ('502 Bad Gateway', b'<html>', MAY_HAVE_RUN),
        ('200 OK', {'tokens': 5}, MAY_HAVE_RUN),
        ('200 OK', {'kv': 'k', 'tokens': 'many'}, MAY_HAVE_RUN),
        ('200 OK', b'\xff', MAY_HAVE_RUN),
    )
    def test_what_an_answer_proves(self, status, body, known):
        """Guards against a second run of a call that has already run.

        An engine, or a proxy before it, answers with an error. Not every error
        proves that nothing ran.
        """
        with raw_server.serving(raw_server.answer(body, status)) as server:
            with self.assertRaises(engine.EngineError) as caught:
                prefill(server.url)
        self.assertEqual(caught.exception.known, known)

    @params(
        raw_server.chunk(b'data: {"offset": "x"}\n\n'),
        raw_server.chunk(b'data: {}\n\n'),
        raw_server.chunk(b'data: no json\n\n'),
        b'zz\r\n',
    )
    def test_an_invalid_piece_breaks_the_stream(self, data):
        reply = raw_server.STREAM_HEAD + data
        with raw_server.serving(reply) as server:
            with self.assertRaises(engine.EngineError):
                list(decode(model_engine(server.url)))

    def test_a_stream_without_data_has_stalled(self):
        first = raw_server.piece('r.1', 2, 'a')
        with raw_server.serving(
            lambda c: server.hang(raw_server.STREAM_HEAD, first)(c)
        ) as server:
            pieces = decode(model_engine(server.url, stall_s=0.05))
            self.assertEqual(next(pieces).offset, 2)
            with self.assertRaises(engine.StalledError):
                next(pieces)

    def test_an_abort_wakes_a_blocked_read(self):
        with raw_server.serving(lambda c: server.hang()(c)) as server:
            adapter = model_engine(server.url)
            aborter = threading.Thread(
                target=lambda: (
                    server.served.acquire(timeout=raw_server.TIMEOUT_S)
                    and adapter.abort()
                )
            )
            aborter.start()
            with self.assertRaises(engine.EngineError) as caught:
                list(decode(adapter))
            aborter.join()
        # This process ended the connection itself.
        self.assertFalse(caught.exception.is_cut)

    def test_an_abort_before_the_call_sends_nothing(self):
        with raw_server.serving(OK) as server:
            adapter = model_engine(server.url)
            adapter.abort()
            with self.assertRaises(engine.EngineError) as caught:
                list(decode(adapter))
        self.assertEqual(caught.exception.known, NOT_RUN)
        self.assertEqual([each for each in server.calls if each[2]], [])


class Orders(unittest.TestCase):
    def order(self, reply):
        with raw_server.serving(reply) as server:
            model_engine(server.url).order(
                order_id='o',
                order='load_model',
                value='m',
                fence=3,
                timeout_s=20.0,
            )

    def test_an_order_is_answered(self):
        self.order(raw_server.answer(b'{}'))

    def test_an_old_fencing_number_is_reported(self):
        refused = raw_server.answer(b'{"reason": "fenced"}', '409 Conflict')
        with self.assertRaises(engine.EngineError) as caught:
            self.order(refused)
        self.assertEqual('fenced', caught.exception.reason)
        self.assertIs(NOT_RUN, caught.exception.known)
