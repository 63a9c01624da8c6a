"""Transport for messages between instances: one grpclib stream per direction.

Each instance opens a stream to every peer that it sends to. Small messages
that may be lost can go as datagrams, which need no connection.

:class:`Peers` belongs to one event loop. ``send`` never blocks and never
raises: a message that can't be sent is dropped and counted by reason. Every
coordination component tolerates lost messages, and a sender that waited for
one unresponsive peer would starve all the others.
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
from ._link import keepalive
from ._link import Limits
from ._link import Link
from ._link import MAX_ENVELOPE_BYTES
from ._link import PING_ANSWER_S
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

#: Longest time, in seconds, for which streams hand over messages in one turn
#: of the event loop. The way of a lease's renewal and that of its answer each
#: wait for a turn, and a lease lasts 1.25 s after a renewal becomes due. It is
#: longer than the lag from which an owner sheds work (0.25 s), so that late
#: ticks still show that messages wait.
MAX_TURN_S = 0.35
#: Ports that are tried, if the operating system assigns them, until one is
#: free for both TCP (streams) and UDP (datagrams).
_PORT_TRIES = 20
#: Exceptions that grpclib raises if the peer or the connection fails; it
#: raises the assertion error for a message that was truncated.
_BROKEN = (
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    AssertionError,
)


class AddressInUse(Exception):
    """Another process listens on the peer address of this instance.

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

    :param instance_id: the id of this instance.
    :param incarnation: higher than that of any earlier process of it.
    :param host: address to listen on.
    :param port: port to listen on; with 0 the operating system assigns one,
        which the attribute ``port`` holds after the start.
    :param addresses_by_id: the peers' addresses; may change while running,
        through :meth:`set_address`.
    :param codec: encodes and decodes the messages.
    :param secret: shared by all instances; ``None`` to send messages without
        a keyed hash.
    :param on_message: called with the sender's id and the message.
    :param on_fault: called with the peer's id and a sentence for the log.
    :param limits: bounds of the queues and connections.
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
        self._receiving_by_exchange: dict[asyncio.Task, asyncio.Future] = {}
        self._stopping = False
        self._is_in_turn = False
        self._turn_began_at = 0.0

    async def start(self) -> None:
        """Start to listen.

        :raises AddressInUse: if another process listens on the address.
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
        """Listen on one port for streams and datagrams, or on none."""
        server = grpclib.server.Server(
            [self], config=keepalive(RECEIVER_PING_S, PING_ANSWER_S)
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
        """Send queued messages, within ``flush_s``, and close everything."""
        self._stopping = True
        self._datagrams.stop()
        links = list(self._links_by_id.values())
        await asyncio.gather(*(link.close() for link in links))
        self._links_by_id.clear()
        if self._server is not None:
            await self._stop_server(self._server)

    async def _stop_server(self, server: grpclib.server.Server) -> None:
        server._server.close()
        for receiving in self._receiving_by_exchange.values():
            receiving.cancel()
        if self._receiving_by_exchange:
            await asyncio.wait(
                self._receiving_by_exchange.keys(),
                timeout=self.limits.flush_s,
            )
        server.close()
        await server.wait_closed()

    def send(
        self, to: str, message: typing.Any, *, by_datagram: bool = False
    ) -> None:
        """Queue a message; it may be lost, and a detected loss is counted.

        :param to: the peer's id; a message to this instance itself is
            delivered locally.
        :param by_datagram: send the message at once and without a connection,
            if it is small enough. A loss is not detected then.
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
            self.report_fault(
                to, f'{type(message).__name__} not encoded: {error!r}'
            )
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
        """Replace the connection to a peer by a new one.

        A middlebox between two instances can lose the state of a connection:
        it stays open at both ends, but all data is lost. Heartbeats over it
        stop then, while new connections work.
        """
        link = self._links_by_id.get(to)
        if link is not None:
            link.reconnect()

    def set_address(self, to: str, address: tuple[str, int]) -> None:
        """Set the address of a peer; reconnect if it has changed."""
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
        """Receive envelopes from one peer until it closes the stream."""
        # The response headers show the sender that a process serves this
        # connection, and not only the kernel's listening socket.
        await stream.send_initial_metadata()
        receiving = asyncio.ensure_future(self._receive_all(stream))
        exchange = typing.cast(asyncio.Task, asyncio.current_task())
        self._receiving_by_exchange[exchange] = receiving
        try:
            await asyncio.wait({receiving})
            # Sent on a stop, too: grpclib leaves the connections open, and a
            # sender would continue to send into them.
            count = self.counters.received
            await stream.send_message(envelope_pb2.Received(count=count))
        except _BROKEN:
            # The connection was lost; the sender counts that.
            return
        finally:
            receiving.cancel()
            await asyncio.gather(receiving, return_exceptions=True)
            del self._receiving_by_exchange[exchange]

    async def _receive_all(self, stream: grpclib.server.Stream) -> None:
        # A stream whose messages have arrived hands them over without a turn
        # of the loop. Behind a backlog of seconds, ticks and the answers that
        # renew this instance's leases would wait for as long.
        async for envelope in stream:
            self._begin_turn()
            self._receive(envelope)
            if self._loop_time() - self._turn_began_at > MAX_TURN_S:
                await asyncio.sleep(0)

    def _begin_turn(self) -> None:
        """Note when the first message of a turn of the loop is handled."""
        if self._is_in_turn:
            return
        self._is_in_turn = True
        self._turn_began_at = self._loop_time()
        asyncio.get_running_loop().call_soon(self._end_turn)

    def _end_turn(self) -> None:
        self._is_in_turn = False

    def _loop_time(self) -> float:
        return asyncio.get_running_loop().time()

    def drop(self, reason: DropReason) -> None:
        """Count a message that is not delivered."""
        self.counters.drops_by_reason[reason] += 1

    def report_fault(self, peer: str, sentence: str) -> None:
        """Call ``on_fault``; its exceptions must not stop the messages."""
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
        self.report_fault(
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
        """Deliver the message in an envelope whose proof was verified."""
        sender, kind = envelope.sender, envelope.kind
        link = self._links_by_id.get(sender)
        if link is not None:
            link.end_backoff()
        if self._too_large(sender, kind, len(envelope.body)):
            return
        try:
            message = self._codec.decode(kind, envelope.body)
        except Exception as error:
            self.drop(DropReason.NOT_DECODED)
            self.report_fault(sender, f'{kind} not decoded: {error}')
            return
        self.counters.received += 1
        self._deliver(sender, message)

    def _deliver(self, sender: str, message: typing.Any) -> None:
        try:
            self._on_message(sender, message)
        except Exception as error:
            # An exception here would end the stream and lose the messages
            # that follow.
            self.drop(DropReason.HANDLER_FAILED)
            kind = type(message).__name__
            self.report_fault(
                sender, f'{kind} failed in its handler: {error!r}'
            )
