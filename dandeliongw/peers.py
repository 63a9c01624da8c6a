"""Messages between instances: one grpclib stream a direction and peer.

:class:`Peers` belongs to one event loop. ``send`` never blocks and never
raises: what can't be sent is dropped and counted by reason, because every
coordination part already bears a lost message, and a sender that waited for
one silent peer would starve all the others.
"""

import asyncio
import collections
from collections import abc
import contextlib
import dataclasses
import enum
import errno
import random
import typing

import grpclib
import grpclib.client
import grpclib.const
import grpclib.exceptions
import grpclib.server

from . import codec as codec_module
from .envelopes import DropReason
from .envelopes import Opener
from .envelopes import Sealer
from .protocol import envelope_grpc
from .protocol import envelope_pb2

#: Bytes of one serialized envelope; a configuration document fits.
MAX_ENVELOPE_BYTES = 1024 * 1024
#: Messages that wait for one peer.
MAX_QUEUED = 1_000
#: Bytes that wait for one peer.
MAX_QUEUED_BYTES = 4 * 1024 * 1024
#: Seconds after which a waiting message is of no use to its part.
MAX_AGE_S = 5.0
#: Seconds without a message after which a connection is closed.
IDLE_S = 600.0
#: Seconds a connect or one write may take before the connection is broken.
PROGRESS_S = 5.0
#: Seconds before the first and before every later new try.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
#: Seconds that a stop waits for what is queued, such as a leave message.
FLUSH_S = 1.0


#: What grpclib raises when the other end or the connection goes away; the
#: assertion is its answer to a message that was cut off in the middle.
_BROKEN = (
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    AssertionError,
)


class FaultReason(enum.StrEnum):
    """Why a connection to a peer ended badly (a counter label)."""

    CONNECT_FAILED = 'connect_failed'
    STREAM_BROKEN = 'stream_broken'
    NO_PROGRESS = 'no_progress'
    RECONNECT_ASKED = 'reconnect_asked'


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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Queued:
    kind: str
    body: bytes
    expires_at: float


class Counters:
    """What was sent, received, dropped and broken, for the metrics."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.connects = 0
        self.drops_by_reason: collections.Counter[DropReason] = (
            collections.Counter()
        )
        self.faults_by_reason: collections.Counter[FaultReason] = (
            collections.Counter()
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Bounds of the connections; the defaults are the constants above."""

    max_envelope_bytes: int = MAX_ENVELOPE_BYTES
    max_queued: int = MAX_QUEUED
    max_queued_bytes: int = MAX_QUEUED_BYTES
    max_age_s: float = MAX_AGE_S
    idle_s: float = IDLE_S
    progress_s: float = PROGRESS_S
    min_backoff_s: float = MIN_BACKOFF_S
    max_backoff_s: float = MAX_BACKOFF_S
    flush_s: float = FLUSH_S


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
        self._links_by_id: dict[str, _Link] = {}
        self._server: grpclib.server.Server | None = None
        self._takings_by_exchange: dict[asyncio.Task, asyncio.Future] = {}
        self._stopping = False

    async def start(self) -> None:
        """Listen.

        :raises AddressInUse: when another process holds the address.
        """
        self._server = grpclib.server.Server([self])
        try:
            await self._server.start(self.host, self.port)
        except OSError as error:
            self._server = None
            if error.errno == errno.EADDRINUSE:
                raise AddressInUse(host=self.host, port=self.port) from error
            raise
        listener = self._server._server
        self.port = listener.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Send what is queued, within ``flush_s``, and close everything."""
        self._stopping = True
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

    def send(self, to: str, message: typing.Any) -> None:
        """Queue a message; it may be lost, and then it is counted."""
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
        self._link(to).put(kind, body)

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

    async def forget(self, to: str) -> None:
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

    def _link(self, to: str) -> '_Link':
        if to not in self._links_by_id:
            self._links_by_id[to] = _Link(peers=self, to=to)
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
        sender, kind = envelope.sender, envelope.kind
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


class _Link:
    """The queue and the connection towards one peer."""

    def __init__(self, *, peers: Peers, to: str) -> None:
        self._peers = peers
        self._to = to
        self._queue: collections.deque[_Queued] = collections.deque()
        self._queued_bytes = 0
        self._wake = asyncio.Event()
        self._drained = asyncio.Event()
        self._reconnect = asyncio.Event()
        self._failures = 0
        self._task = asyncio.get_running_loop().create_task(self._run())

    def put(self, kind: str, body: bytes) -> None:
        """Queue a message or drop it."""
        limits = self._peers.limits
        full = (
            len(self._queue) >= limits.max_queued
            or self._queued_bytes + len(body) > limits.max_queued_bytes
        )
        if full:
            self._peers.drop(DropReason.QUEUE_FULL)
            return
        expires_at = asyncio.get_running_loop().time() + limits.max_age_s
        queued = _Queued(kind=kind, body=body, expires_at=expires_at)
        self._queue.append(queued)
        self._queued_bytes += len(body)
        self._drained.clear()
        self._wake.set()

    def reconnect(self) -> None:
        """Break the connection or the wait before the next one."""
        self._reconnect.set()

    async def close(self) -> None:
        """Send what is queued, within ``flush_s``, and close."""
        if self._queue:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._peers.limits.flush_s):
                    await self._drained.wait()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        for _ in self._queue:
            self._peers.drop(DropReason.STOPPED)

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._reconnect.clear()
            fault = await self._carry_until_reconnect()
            if fault is None:
                continue
            self._peers.counters.faults_by_reason[fault] += 1
            self._peers.tell(self._to, f'connection ended: {fault.value}')
            if fault is not FaultReason.RECONNECT_ASKED:
                await self._back_off()

    async def _carry_until_reconnect(self) -> FaultReason | None:
        carry = asyncio.ensure_future(self._carry())
        asked = asyncio.ensure_future(self._reconnect.wait())
        try:
            await asyncio.wait(
                {carry, asked}, return_when=asyncio.FIRST_COMPLETED
            )
            if carry.done():
                return carry.result()
            return FaultReason.RECONNECT_ASKED
        finally:
            asked.cancel()
            carry.cancel()
            await asyncio.gather(carry, asked, return_exceptions=True)

    async def _carry(self) -> FaultReason | None:
        """Connect and send; return why it ended, ``None`` when idle."""
        progress_s = self._peers.limits.progress_s
        address = self._peers.addresses_by_id.get(self._to)
        if address is None:
            return FaultReason.CONNECT_FAILED
        channel = grpclib.client.Channel(*address)
        connected = False
        try:
            exchange = envelope_grpc.PeerStub(channel).Exchange
            async with exchange.open() as stream:
                async with asyncio.timeout(progress_s):
                    await stream.send_request()
                    await stream.recv_initial_metadata()
                connected = True
                self._failures = 0
                self._peers.counters.connects += 1
                return await self._send_queued(stream)
        except Exception as error:
            # Any, for a link that ended by an error nobody foresaw would be
            # silent for good; one would see only messages that expire.
            self._peers.tell(self._to, f'connection failed: {error!r}')
            if not connected:
                return FaultReason.CONNECT_FAILED
            if isinstance(error, TimeoutError):
                return FaultReason.NO_PROGRESS
            return FaultReason.STREAM_BROKEN
        finally:
            channel.close()

    async def _send_queued(
        self, stream: grpclib.client.Stream
    ) -> FaultReason | None:
        # Without this watch a broken stream would be noticed only by the
        # next message, which would be lost with it.
        ended = asyncio.ensure_future(stream.recv_message())
        try:
            while True:
                if not await self._wait_for_queued(ended):
                    break
                await self._send_first(stream)
            if ended.done():
                return FaultReason.STREAM_BROKEN
            if self._reconnect.is_set():
                return FaultReason.RECONNECT_ASKED
            async with asyncio.timeout(self._peers.limits.progress_s):
                await stream.end()
                await ended
            return None
        finally:
            ended.cancel()
            await asyncio.gather(ended, return_exceptions=True)

    async def _wait_for_queued(self, ended: asyncio.Future) -> bool:
        """Return whether there is a message and a stream to send it."""
        if ended.done() or self._reconnect.is_set():
            # What is sent after a reconnect was asked for must not go into
            # the old connection, which may be silent.
            return False
        if self._queue:
            return True
        self._drained.set()
        self._wake.clear()
        woken = asyncio.ensure_future(self._wake.wait())
        try:
            await asyncio.wait(
                {woken, ended},
                timeout=self._peers.limits.idle_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            return woken.done() and not ended.done()
        finally:
            woken.cancel()

    async def _send_first(self, stream: grpclib.client.Stream) -> None:
        queued = self._queue.popleft()
        self._queued_bytes -= len(queued.body)
        if asyncio.get_running_loop().time() > queued.expires_at:
            self._peers.drop(DropReason.EXPIRED)
            return
        envelope = self._peers.sealer.seal(self._to, queued.kind, queued.body)
        try:
            async with asyncio.timeout(self._peers.limits.progress_s):
                await stream.send_message(envelope)
        except BaseException:
            self._peers.drop(DropReason.CONNECTION_LOST)
            raise
        self._peers.counters.sent += 1
        self._peers.counters.sent_bytes += envelope.ByteSize()

    async def _back_off(self) -> None:
        """Wait before the next try; a reconnect ends the wait.

        Without jitter, all instances would connect to a restarted one at
        the same moments, again and again.
        """
        limits = self._peers.limits
        longest = min(
            limits.max_backoff_s, limits.min_backoff_s * 2**self._failures
        )
        self._failures = min(self._failures + 1, 16)
        delay = random.uniform(longest / 2, longest)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay):
                await self._reconnect.wait()
