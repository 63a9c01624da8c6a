"""What becomes of a datagram that can't be sent."""

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

    def test_a_full_link_fills_no_memory(self):
        """Symptom: an instance grows until it is killed.

        Sequence: its link is full; it goes on to probe and to answer.
        Cause: the event loop keeps all that the system doesn't take.
        """
        waiting = datagrams.MAX_WAITING_BYTES + 1
        self.transport.get_write_buffer_size.return_value = waiting
        self.assertGreater(self.send(), 0)
        self.transport.sendto.assert_not_called()
        self.assertEqual(
            {envelopes.DropReason.QUEUE_FULL: 1}, dict(self.drops)
        )

    def test_what_has_room_is_sent_at_once(self):
        size = self.send()
        (sealed, address), _ = self.transport.sendto.call_args
        self.assertEqual((size, ADDRESS), (len(sealed), address))

    def test_the_largest_is_measured_with_its_envelope(self):
        self.assertEqual(0, self.send(bytes(datagrams.MAX_BYTES - 1)))
        self.transport.sendto.assert_not_called()

    def test_an_error_of_the_system_is_counted(self):
        self.datagrams.error_received(ConnectionRefusedError())
        self.assertEqual(
            {envelopes.DropReason.CONNECTION_LOST: 1}, dict(self.drops)
        )

    def test_the_secret_is_not_that_of_the_streams(self):
        self.assertNotEqual(b'secret', datagrams.derive_secret(b'secret'))
        self.assertIsNone(datagrams.derive_secret(None))
