"""Messages between instances: one grpclib stream a direction and peer.

What is small and bears a loss may go as a datagram, which needs no
connection. :class:`Peers` belongs to one event loop. ``send`` never blocks
and never raises: what can't be sent is dropped and counted by reason, because
every coordination part already bears a lost message, and a sender that waited
for one silent peer would starve all the others.
"""

import asyncio
from collections import abc
import contextlib
import errno
import typing

import grpclib.exceptions
import grpclib.server

from . import codec as codec_module
from . import datagrams
from ._link import Counters
from ._link import FaultReason
from ._link import Limits
from ._link import Link
from ._link import MAX_ENVELOPE_BYTES
from ._link import PING_ANSWER_S
from ._link import pinging
from ._link import RECEIVER_PING_S
from .envelopes import DropReason
from .envelopes import Opener
from .envelopes import Sealer
from .protocol import envelope_grpc
from .protocol import envelope_pb2

__all__ = [
    'AddressInUse',
    'Counters',
    'FaultReason',
    'Limits',
    'MAX_ENVELOPE_BYTES',
    'Peers',
]

#: Ports that are tried until one is free for streams and for datagrams, when
#: the system chooses.
_PORT_TRIES = 20
#: What grpclib raises when the other end or the connection goes away; the
#: assertion is its answer to a message that was cut off in the middle.
_BROKEN = (
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    AssertionError,
)


class AddressInUse(Exception):
    """Another process listens where this instance should.

    :param host: from the settings.
    :param port: from the settings.
    """

    def __init__(self, *, host: str, port: int) -> None:
        super().__init__(
            f'peer address {host}:{port} is in use by another process; '
            'stop that process or choose another peer port'
        )
        self.host = host
        self.port = port


class Peers(envelope_grpc.PeerBase):
    """Sends and receives the messages of one instance.

    :param instance_id: this instance.
    :param incarnation: higher than that of any earlier process of it.
    :param host: address to listen on.
    :param port: port to listen on; 0 lets the system choose, see ``port``.
    :param addresses_by_id: where the peers listen; may grow while running,
        through :meth:`set_address`.
    :param codec: maps message data classes to bytes.
    :param secret: shared by all instances, or ``None``.
    :param on_message: called with the sender's id and the message.
    :param on_fault: called with the peer's id and a sentence for the log.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        incarnation: int,
        host: str,
        port: int,
        addresses_by_id: dict[str, tuple[str, int]],
        codec: codec_module.Codec,
        secret: bytes | None,
        on_message: abc.Callable[[str, typing.Any], None],
        on_fault: abc.Callable[[str, str], None],
        limits: Limits = Limits(),
    ) -> None:
        self.instance_id = instance_id
        self.host = host
        self.port = port
        self.addresses_by_id = addresses_by_id
        self.counters = Counters()
        self.limits = limits
        self.sealer = Sealer(
            sender=instance_id, incarnation=incarnation, secret=secret
        )
        self._opener = Opener(recipient=instance_id, secret=secret)
        self._codec = codec
        self._on_message = on_message
        self._on_fault = on_fault
        self._links_by_id: dict[str, Link] = {}
        self._datagrams = datagrams.Datagrams(
            sealer=Sealer(
                sender=instance_id,
                incarnation=incarnation,
                secret=datagrams.derive_secret(secret),
            ),
            opener=Opener(
                recipient=instance_id, secret=datagrams.derive_secret(secret)
            ),
            on_envelope=self._receive_datagram,
            on_drop=self.drop,
        )
        self._server: grpclib.server.Server | None = None
        self._takings_by_exchange: dict[asyncio.Task, asyncio.Future] = {}
        self._stopping = False

    async def start(self) -> None:
        """Listen.

        :raises AddressInUse: when another process holds the address.
        """
        tries = 1 if self.port else _PORT_TRIES
        for left in reversed(range(tries)):
            try:
                await self._listen()
                return
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                if not left:
                    raise AddressInUse(
                        host=self.host, port=self.port
                    ) from error

    async def _listen(self) -> None:
        """Take one port for streams and for datagrams, or neither."""
        server = grpclib.server.Server(
            [self], config=pinging(RECEIVER_PING_S, PING_ANSWER_S)
        )
        await server.start(self.host, self.port)
        port = server._server.sockets[0].getsockname()[1]
        try:
            await self._datagrams.start(self.host, port)
        except OSError:
            server.close()
            await server.wait_closed()
            raise
        self._server = server
        self.port = port

    async def stop(self) -> None:
        """Send what is queued, within ``flush_s``, and close everything."""
        self._stopping = True
        self._datagrams.stop()
        links = list(self._links_by_id.values())
        await asyncio.gather(*(link.close() for link in links))
        self._links_by_id.clear()
        if self._server is not None:
            await self._stop_server(self._server)

    async def _stop_server(self, server: grpclib.server.Server) -> None:
        server._server.close()
        for taking in self._takings_by_exchange.values():
            taking.cancel()
        if self._takings_by_exchange:
            await asyncio.wait(
                self._takings_by_exchange.keys(), timeout=self.limits.flush_s
            )
        server.close()
        await server.wait_closed()

    def send(
        self, to: str, message: typing.Any, *, by_datagram: bool = False
    ) -> None:
        """Queue a message; it may be lost, and then it is counted.

        :param by_datagram: send it at once and without a connection, if it
            is small enough. Then a loss is not noticed.
        """
        if self._stopping:
            self.drop(DropReason.STOPPED)
            return
        if to == self.instance_id:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, to, message)
            return
        if to not in self.addresses_by_id:
            self.drop(DropReason.UNKNOWN_PEER)
            return
        try:
            kind, body = self._codec.encode(message)
        except Exception as error:
            self.drop(DropReason.NOT_ENCODED)
            self.tell(to, f'{type(message).__name__} not encoded: {error!r}')
            return
        if self._too_large(to, kind, len(body)):
            return
        if by_datagram and self._sent_as_datagram(to, kind, body):
            return
        self._link(to).put(kind, body)

    def _sent_as_datagram(self, to: str, kind: str, body: bytes) -> bool:
        size = self._datagrams.send(to, self.addresses_by_id[to], kind, body)
        self.counters.sent += bool(size)
        self.counters.sent_bytes += size
        return bool(size)

    def reconnect(self, to: str) -> None:
        """Throw the connection to a peer away and use a new one.

        Something between two instances can lose track of a connection: it
        stays open at both ends and carries nothing for good. One would
        notice only that heartbeats stop while new connections work.
        """
        link = self._links_by_id.get(to)
        if link is not None:
            link.reconnect()

    def set_address(self, to: str, address: tuple[str, int]) -> None:
        """Learn where a peer listens; a changed address is connected anew."""
        if self.addresses_by_id.get(to) == address:
            return
        self.addresses_by_id[to] = address
        self.reconnect(to)

    async def remove_peer(self, to: str) -> None:
        """Close the connection to a peer that is no longer a member."""
        self.addresses_by_id.pop(to, None)
        link = self._links_by_id.pop(to, None)
        if link is not None:
            await link.close()

    async def Exchange(self, stream: grpclib.server.Stream) -> None:
        """Take envelopes from one peer until it closes the stream."""
        # The headers of the answer tell the sender that a process, and not
        # only a listening socket, is at this end.
        await stream.send_initial_metadata()
        taking = asyncio.ensure_future(self._take(stream))
        exchange = typing.cast(asyncio.Task, asyncio.current_task())
        self._takings_by_exchange[exchange] = taking
        try:
            await asyncio.wait({taking})
            # Also when a stop has ended the taking: grpclib leaves the
            # connections open, and a sender would go on sending into them.
            count = self.counters.received
            await stream.send_message(envelope_pb2.Received(count=count))
        except _BROKEN:
            # The connection went away; the sender counts that.
            return
        finally:
            taking.cancel()
            await asyncio.gather(taking, return_exceptions=True)
            del self._takings_by_exchange[exchange]

    async def _take(self, stream: grpclib.server.Stream) -> None:
        async for envelope in stream:
            self._receive(envelope)

    def drop(self, reason: DropReason) -> None:
        """Count a message that is not delivered."""
        self.counters.drops_by_reason[reason] += 1

    def tell(self, peer: str, sentence: str) -> None:
        """Report a fault; a failing observer must not stop the messages."""
        with contextlib.suppress(Exception):
            self._on_fault(peer, sentence)

    def _link(self, to: str) -> Link:
        if to not in self._links_by_id:
            self._links_by_id[to] = Link(peers=self, to=to)
        return self._links_by_id[to]

    def _too_large(self, peer: str, kind: str, size: int) -> bool:
        limit = self.limits.max_envelope_bytes
        if size <= limit:
            return False
        self.drop(DropReason.TOO_LARGE)
        self.tell(
            peer,
            f'{kind} of {size} bytes is over the limit of {limit} bytes '
            '(max_envelope_bytes)',
        )
        return True

    def _receive(self, envelope: envelope_pb2.Envelope) -> None:
        self.counters.received_bytes += envelope.ByteSize()
        reason = self._opener.check(envelope)
        if reason is not None:
            self.drop(reason)
            return
        self._open(envelope)

    def _receive_datagram(
        self, envelope: envelope_pb2.Envelope, size: int
    ) -> None:
        self.counters.received_bytes += size
        self._open(envelope)

    def _open(self, envelope: envelope_pb2.Envelope) -> None:
        """Deliver what is in an envelope whose proof was checked."""
        sender, kind = envelope.sender, envelope.kind
        link = self._links_by_id.get(sender)
        if link is not None:
            link.hurry()
        if self._too_large(sender, kind, len(envelope.body)):
            return
        try:
            message = self._codec.decode(kind, envelope.body)
        except Exception as error:
            self.drop(DropReason.NOT_DECODED)
            self.tell(sender, f'{kind} not decoded: {error}')
            return
        self.counters.received += 1
        self._deliver(sender, message)

    def _deliver(self, sender: str, message: typing.Any) -> None:
        try:
            self._on_message(sender, message)
        except Exception as error:
            # An exception here would end the stream and lose what follows.
            self.drop(DropReason.HANDLER_FAILED)
            kind = type(message).__name__
            self.tell(sender, f'{kind} failed in its handler: {error!r}')
