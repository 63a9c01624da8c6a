"""Datagrams that can't be sent are dropped and counted."""

import collections
import unittest
from unittest import mock

from dandeliongw import datagrams
from dandeliongw import envelopes

ADDRESS = ('127.0.0.1', 7000)


class DatagramsTest(unittest.TestCase):
    def setUp(self):
        self.drops = collections.Counter()
        self.datagrams = datagrams.Datagrams(
            sealer=envelopes.Sealer(
                sender='gw-1', incarnation=1, secret=b'secret'
            ),
            opener=envelopes.Opener(recipient='gw-1', secret=b'secret'),
            on_envelope=mock.Mock(),
            on_drop=lambda reason: self.drops.update([reason]),
        )
        self.transport = mock.Mock()
        self.transport.get_write_buffer_size.return_value = 0
        self.datagrams._transport = self.transport

    def send(self, body=b'x'):
        return self.datagrams.send('gw-2', ADDRESS, 'Probe', body)

    def test_a_congested_link_does_not_fill_memory(self):
        """Datagrams are dropped while the send buffer is full.

        The event loop buffers everything that the kernel doesn't accept, so
        an instance on a congested link would grow until it is killed.
        """
        waiting = datagrams.MAX_WAITING_BYTES + 1
        self.transport.get_write_buffer_size.return_value = waiting
        self.assertGreater(self.send(), 0)
        self.transport.sendto.assert_not_called()
        self.assertEqual(
            {envelopes.DropReason.QUEUE_FULL: 1}, dict(self.drops)
        )

    def test_a_datagram_is_sent_at_once(self):
        size = self.send()
        (sealed, address), _ = self.transport.sendto.call_args
        self.assertEqual((size, ADDRESS), (len(sealed), address))

    def test_the_size_limit_includes_the_envelope(self):
        self.assertEqual(0, self.send(bytes(datagrams.MAX_BYTES - 1)))
        self.transport.sendto.assert_not_called()

    def test_an_error_of_the_operating_system_is_counted(self):
        self.datagrams.error_received(ConnectionRefusedError())
        self.assertEqual(
            {envelopes.DropReason.CONNECTION_LOST: 1}, dict(self.drops)
        )

    def test_the_secret_differs_from_that_of_the_streams(self):
        self.assertNotEqual(b'secret', datagrams.derive_secret(b'secret'))
        self.assertIsNone(datagrams.derive_secret(None))
