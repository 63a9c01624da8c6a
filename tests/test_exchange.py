"""One HTTP call and its connection, against a raw socket server."""

import contextlib
import itertools
import queue
import socket
import threading
import unittest

from nose2.tools import params

from dandeliongw import connection_pool
from dandeliongw import engine
from dandeliongw import exchange as exchanges
from dandeliongw import sockets
from dandeliongw import verdict
from tests import raw_server
from tests import through_tunnels
from tools import local


class TimeoutTest(unittest.TestCase):
    """Guards against calls that count as stalled after the connect timeout."""

    def test_an_answer_has_the_read_timeout(self):
        with raw_server.serving(raw_server.answer({})) as server:
            exchange = exchanges.Exchange(
                url=server.url, connect_s=1.0, read_s=20.0
            )
            exchange.open()
            exchange.send('GET', '/', b'', {})
            self.assertEqual(exchange.read_timeout_s, 20.0)
            exchange.close()


class AbandonedTest(unittest.TestCase):
    """Guards against calls that arrive after they were given up.

    A call waits in a connection that is cut. If that was closed in the usual
    way, it would be delivered when the cut heals, and run for nobody.
    """

    def test_a_call_without_an_answer_is_reset(self):
        ends = queue.SimpleQueue()

        def wait_for_end(connection):
            try:
                ends.put(connection.recv(1))
            except ConnectionResetError as error:
                ends.put(error)

        with raw_server.serving(wait_for_end) as server:
            exchange = exchanges.Exchange(
                url=server.url, connect_s=1.0, read_s=0.05
            )
            exchange.open()
            with self.assertRaises(engine.EngineError):
                exchange.send('GET', '/', b'', {})
            exchange.close()
            end = ends.get(timeout=raw_server.TIMEOUT_S)
            self.assertIsInstance(end, ConnectionResetError)

    def test_a_connection_whose_answer_is_complete_is_not(self):
        ends = queue.SimpleQueue()

        def reply(connection):
            connection.sendall(raw_server.answer({}))
            ends.put(connection.recv(1))

        with raw_server.serving(reply) as server:
            exchange = exchanges.Exchange(
                url=server.url, connect_s=1.0, read_s=20.0
            )
            exchange.open()
            response = exchange.send('GET', '/', b'', {})
            exchange.read(response, 100)
            exchange.close()
            self.assertEqual(b'', ends.get(timeout=raw_server.TIMEOUT_S))


class EarlyAnswerTest(unittest.TestCase):
    """Guards against a part of an answer that passes as a whole one.

    A server answers a long upload at once, without a length, and resets the
    connection while the upload is being written.
    """

    def serve(self, listener, is_slow):
        connection, _ = listener.accept()
        with connection:
            connection.recv(100)
            connection.sendall(b'HTTP/1.1 200 OK\r\n\r\n' + bytes(100))
            if is_slow:
                # Until the answer was read, or all of the upload is written.
                connection.settimeout(0.2)
                with contextlib.suppress(TimeoutError):
                    while connection.recv(65536):
                        pass
            sockets.reset_on_close(connection)

    @params(
        *itertools.product(
            (False, True), (1000, 100_000, 8_000_000), (False, True)
        )
    )
    def test_it_may_have_run(self, is_slow, size, is_tunnelled):
        listener = self.enterContext(socket.create_server(('127.0.0.1', 0)))
        server = threading.Thread(target=self.serve, args=(listener, is_slow))
        server.start()
        self.addCleanup(server.join)
        connector = None
        if is_tunnelled:
            connector = self.enterContext(through_tunnels.connecting())
        exchange = exchanges.Exchange(
            url=f'http://127.0.0.1:{listener.getsockname()[1]}',
            connect_s=20.0,
            read_s=20.0,
            connector=connector,
        )
        self.addCleanup(exchange.close)
        exchange.open()
        with self.assertRaises(engine.EngineError) as caught:
            exchange.read(exchange.send('POST', '/', bytes(size), {}), 1000)
        self.assertIs(verdict.Verdict.MAY_HAVE_RUN, caught.exception.known)


class DepartedConnector(exchanges.DirectConnector):
    """The backend server leaves while the call connects to it."""

    def has_departed(self, host, port):
        return True


class LeavingBackendTest(unittest.TestCase):
    """Guards against calls that arrive long after a leave was heard."""

    def exchange(self, server, connector=None):
        exchange = exchanges.Exchange(
            url=server.url, connect_s=1.0, read_s=20.0, connector=connector
        )
        self.addCleanup(exchange.close)
        return exchange

    def error_of(self, exchange, body=b''):
        """Send a call that fails, and return its error."""
        exchange.open()
        with self.assertRaises(engine.EngineError) as caught:
            exchange.send('POST', '/', body, {})
        return caught.exception

    def test_a_call_that_connects_meanwhile_is_not_sent(self):
        with raw_server.serving(raw_server.answer({})) as server:
            error = self.error_of(self.exchange(server, DepartedConnector()))
            self.assertEqual([], server.calls)
        self.assertEqual(
            (verdict.Verdict.NOT_RUN, verdict.RetryReason.BACKEND_LEFT, True),
            (error.known, error.reason, error.is_unsent),
        )

    @params(False, True)
    def test_a_call_that_is_not_received_is_broken_off(self, is_read):
        """The server's machine takes little of it, or it isn't answered."""
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(('127.0.0.1', 0))
            listener.listen()
            host, port = listener.getsockname()
            exchange = exchanges.Exchange(
                url=f'http://{host}:{port}',
                connect_s=1.0,
                read_s=raw_server.TIMEOUT_S,
                connector=BufferingConnector(),
            )
            self.addCleanup(exchange.close)
            body = b'' if is_read else b'x' * 500_000
            errors = queue.SimpleQueue()
            sending = threading.Thread(
                target=lambda: errors.put(self.error_of(exchange, body))
            )
            sending.start()
            while sending.is_alive():
                exchange.withdraw(is_forced=is_read)
                sending.join(0.01)
        error = errors.get(timeout=raw_server.TIMEOUT_S)
        self.assertEqual(
            (
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.RetryReason.BACKEND_LEFT,
                False,
            ),
            (error.known, error.reason, error.is_unsent),
        )

    def test_it_ends_with_a_reset_only(self):
        """Guards against what is taken for the end of a good call."""
        received, ends = threading.Event(), queue.SimpleQueue()

        def note_end(connection):
            received.set()
            try:
                ends.put(connection.recv(1))
            except ConnectionResetError as error:
                ends.put(error)

        def withdraw():
            received.wait(raw_server.TIMEOUT_S)
            exchange.withdraw(is_forced=True)

        with raw_server.serving(note_end) as server:
            exchange = self.exchange(server)
            withdrawing = threading.Thread(target=withdraw)
            withdrawing.start()
            self.error_of(exchange)
            exchange.close()
            withdrawing.join()
            end = ends.get(timeout=raw_server.TIMEOUT_S)
        self.assertIsInstance(end, ConnectionResetError)

    @params((False, False), (True, True))
    def test_a_call_under_way_goes_on(self, is_forced, has_answer):
        """It was received, or its answer has begun."""
        received, release = threading.Event(), threading.Event()
        self.addCleanup(release.set)

        def answer_at_last(connection):
            received.set()
            if not has_answer:
                release.wait(raw_server.TIMEOUT_S)
            connection.sendall(raw_server.answer({}))

        def withdraw():
            received.wait(raw_server.TIMEOUT_S)
            # An acknowledgement may come after what it acknowledges was read.
            local.wait_until(
                'the call is acknowledged',
                lambda: not sockets.unacknowledged_bytes(exchange._socket),
            )
            exchange.withdraw(is_forced=is_forced)
            release.set()

        with raw_server.serving(answer_at_last) as server:
            exchange = self.exchange(server)
            exchange.open()
            withdrawing = threading.Thread(target=withdraw)
            if not has_answer:
                withdrawing.start()
            response = exchange.send('POST', '/', b'{}', {})
            if has_answer:
                withdrawing.start()
            withdrawing.join()
            self.assertEqual(b'{}', exchange.read(response, 100))


class BufferingConnector(exchanges.DirectConnector):
    """Connects with a buffer that takes a whole call."""

    def connect(self, host, port, timeout_s):
        connection = super().connect(host, port, timeout_s)
        connection.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 4_000_000
        )
        return connection


class RecordingConnector(exchanges.DirectConnector):
    """Records the addresses whose path is to be checked."""

    def __init__(self):
        self.suspected = []

    def suspect(self, host, port):
        self.suspected.append((host, port))


class SilentConnectionTest(unittest.TestCase):
    """Guards against kept connections that take one call after the other.

    Their path is lost, which nothing but silence shows.
    """

    def exchange(self, server, pool, connector, read_s):
        return exchanges.Exchange(
            url=server.url,
            connect_s=1.0,
            read_s=read_s,
            pool=pool,
            connector=connector,
        )

    @params((0.1, 1), (20.0, 0))
    def test_a_used_connection_that_stays_silent_is_suspect(
        self, read_s, expected
    ):
        pool = connection_pool.ConnectionPool()
        connector = RecordingConnector()
        good = raw_server.answer({}, '200 OK', 'Keep-Alive: timeout=9')

        def answer_first(connection):
            connection.sendall(good)
            if not expected:
                connection.recv(100)
                connection.sendall(good)
            # The second call, and its end.
            while connection.recv(1000):
                pass

        with raw_server.serving(answer_first) as server:
            first = self.exchange(server, pool, connector, 20.0)
            first.open()
            first.read(first.send('GET', '/', b'', {}), 100)
            first.close()
            second = self.exchange(server, pool, connector, read_s)
            second.open()
            if expected:
                with self.assertRaises(engine.StalledError):
                    second.send('GET', '/', b'', {})
            else:
                second.send('GET', '/', b'', {})
                self.assertEqual(20.0, second.read_timeout_s)
            second.close()
        self.assertEqual(bool(expected), bool(connector.suspected))
