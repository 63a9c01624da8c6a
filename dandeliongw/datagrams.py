"""Small messages between instances without a connection.

Members probe each other, each of them all others in turn. Over streams, 200
instances would hold 40,000 connections for two messages a second each; a
datagram needs none. It may be lost, come late or be refused by what stands
between: whoever sends one asks again over a stream when no answer comes.
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

#: Bytes of a datagram. Of more than some 1,400 a network makes several
#: packets, and the loss of one of them loses all.
MAX_BYTES = 1_200
#: Bytes that wait for a link that is full; later datagrams are dropped. The
#: event loop keeps what the system doesn't take, without a bound of its own.
MAX_WAITING_BYTES = 64 * 1024


def derive_secret(secret: bytes | None) -> bytes | None:
    """Return the secret that proves datagrams.

    Their counters are not those of the streams. With one secret for both, a
    datagram could be played again as a message of a stream.
    """
    if secret is None:
        return None
    return hmac.digest(secret, b'datagrams', 'sha256')


class Datagrams(asyncio.DatagramProtocol):
    """The datagrams of one instance; belongs to one event loop.

    :param sealer: with a secret that nothing else uses, as are its counters.
    :param opener: checks what comes, with the same secret.
    :param on_envelope: called with what was proved, and its bytes.
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
        """Listen.

        :raises OSError: when the address can't be had.
        """
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def stop(self) -> None:
        """Close the socket; what is sent later goes another way."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(
        self, to: str, address: tuple[str, int], kind: str, body: bytes
    ) -> int:
        """Send a message at once.

        :returns: its bytes, also if it is dropped as the link is full; 0 when
            it has to go another way: it is too large, or the address is a
            name, which would have to be looked up.
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
        """Check a datagram and hand on what it carries."""
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
        """Count a datagram that the system could not send."""
        self._on_drop(DropReason.CONNECTION_LOST)


@functools.lru_cache(maxsize=4096)
def _is_literal(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
