"""Small messages between instances over UDP, without a connection.

Each member probes all others in turn. Over streams, 200 instances would hold
40,000 connections for two messages a second each; datagrams need none. A
datagram may be lost, delayed or blocked by a firewall: its sender must retry
over a stream if no answer arrives.
"""

import asyncio
from collections import abc
import functools
import hmac
import ipaddress
import typing

from google.protobuf import message as protobuf_message

from .envelopes import DropReason
from .envelopes import Opener
from .envelopes import Sealer
from .protocol import envelope_pb2

#: Longest datagram, in bytes. Above about 1,400 bytes a network splits a
#: datagram into several packets, and the loss of one loses all of it.
MAX_BYTES = 1_200
#: Bytes buffered while the network link is congested; further datagrams are
#: dropped. The event loop buffers what the kernel doesn't accept, without a
#: limit of its own.
MAX_WAITING_BYTES = 64 * 1024


def derive_secret(secret: bytes | None) -> bytes | None:
    """Return the secret that authenticates datagrams.

    Datagrams and streams have separate counters. With one secret for both, a
    datagram could be replayed as a message of a stream.
    """
    if secret is None:
        return None
    return hmac.digest(secret, b'datagrams', 'sha256')


class Datagrams(asyncio.DatagramProtocol):
    """The datagrams of one instance; belongs to one event loop.

    :param sealer: used for nothing else, with the secret of
        :func:`derive_secret`.
    :param opener: verifies received envelopes, with the same secret.
    :param on_envelope: called with each verified envelope and the size of its
        datagram in bytes.
    :param on_drop: called with the reason for each datagram that isn't
        delivered.
    """

    def __init__(
        self,
        *,
        sealer: Sealer,
        opener: Opener,
        on_envelope: abc.Callable[[envelope_pb2.Envelope, int], None],
        on_drop: abc.Callable[[DropReason], None],
    ) -> None:
        self._sealer = sealer
        self._opener = opener
        self._on_envelope = on_envelope
        self._on_drop = on_drop
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Start to listen.

        :raises OSError: if the address can't be used.
        """
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def stop(self) -> None:
        """Close the socket; ``send`` returns 0 from now on."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(
        self, to: str, address: tuple[str, int], kind: str, body: bytes
    ) -> int:
        """Send a message at once.

        :returns: the size of the datagram in bytes, even if it was dropped
            because the send buffer is full; 0 if the message has to be sent
            over a stream: it is too large, the socket is closed, or the
            address is a host name, which would need a DNS query.
        """
        if self._transport is None or not _is_literal(address[0]):
            return 0
        if len(body) > MAX_BYTES:
            return 0
        sealed = self._sealer.seal(to, kind, body).SerializeToString()
        if len(sealed) > MAX_BYTES:
            return 0
        if self._transport.get_write_buffer_size() > MAX_WAITING_BYTES:
            self._on_drop(DropReason.QUEUE_FULL)
        else:
            self._transport.sendto(sealed, address)
        return len(sealed)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Verify a datagram and pass on its envelope."""
        try:
            envelope = envelope_pb2.Envelope.FromString(data)
        except protobuf_message.DecodeError:
            self._on_drop(DropReason.NOT_DECODED)
            return
        reason = self._opener.check(envelope)
        if reason is not None:
            self._on_drop(reason)
            return
        self._on_envelope(envelope, len(data))

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that the operating system could not send."""
        self._on_drop(DropReason.CONNECTION_LOST)


@functools.lru_cache(maxsize=4096)
def _is_literal(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
