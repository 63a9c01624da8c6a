"""One HTTP call and its connection, against a raw socket server."""

import unittest

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
