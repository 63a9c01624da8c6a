"""One HTTP call and its connection, against a raw socket server."""

import queue
import unittest

from nose2.tools import params

from dandeliongw import connection_pool
from dandeliongw import engine
from dandeliongw import exchange as exchanges
from tests import raw_server


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
