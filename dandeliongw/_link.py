"""The queue and the outgoing connection to one peer, with their limits."""

import asyncio
import collections
import contextlib
import enum
import random
import typing

import grpclib.client
import grpclib.config
import msgspec

from .envelopes import DropReason
from .envelopes import Sealer
from .protocol import envelope_grpc

#: Longest body of an envelope, in bytes; a configuration document fits.
MAX_ENVELOPE_BYTES = 1024 * 1024
#: Messages queued for one peer.
MAX_QUEUED = 1_000
#: Bytes queued for one peer.
MAX_QUEUED_BYTES = 4 * 1024 * 1024
#: Seconds after which a queued message expires; it would be of no use to the
#: component that it is for.
MAX_AGE_S = 5.0
#: Seconds without a message after which a connection is closed. Most pairs of
#: members communicate rarely; with ten minutes, each of 200 instances would
#: in the end hold connections to all others, at about 100 KB each.
IDLE_S = 15.0
#: Seconds between keepalive pings of a connection, and seconds to wait for
#: the answer. A connection that no longer transports data is replaced within
#: the sum of both; a ping and its answer are frames of 17 bytes each.
PING_S = 2.0
PING_ANSWER_S = 1.5
#: Seconds between keepalive pings by the receiving end. They only find
#: connections whose sender disappeared without closing them, and free them.
RECEIVER_PING_S = 30.0
#: Seconds that one write may take before the connection is closed.
PROGRESS_S = 5.0
#: Seconds that a connect may take: ten round trips between regions. A host
#: without power does not refuse a connection; without this limit, the attempt
#: would still be pending after the host's return.
CONNECT_S = 2.0
#: Bounds of the exponential backoff between attempts to connect, in seconds.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
#: Seconds that a stop waits for queued messages, such as a leave message.
FLUSH_S = 1.0


class FaultReason(enum.StrEnum):
    """Why a connection to a peer failed (a counter label)."""

    CONNECT_FAILED = 'connect_failed'
    STREAM_BROKEN = 'stream_broken'
    NO_PROGRESS = 'no_progress'
    RECONNECT_ASKED = 'reconnect_asked'


class _Queued(msgspec.Struct, frozen=True, kw_only=True):
    kind: str
    body: bytes
    expires_at: float


class Counters:
    """Counts of messages, connects, drops and faults, for the metrics."""

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


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of queues and connections; defaults are the constants above."""

    max_envelope_bytes: int = MAX_ENVELOPE_BYTES
    max_queued: int = MAX_QUEUED
    max_queued_bytes: int = MAX_QUEUED_BYTES
    max_age_s: float = MAX_AGE_S
    idle_s: float = IDLE_S
    ping_s: float = PING_S
    ping_answer_s: float = PING_ANSWER_S
    progress_s: float = PROGRESS_S
    connect_s: float = CONNECT_S
    min_backoff_s: float = MIN_BACKOFF_S
    max_backoff_s: float = MAX_BACKOFF_S
    flush_s: float = FLUSH_S


def keepalive(ping_s: float, answer_s: float) -> grpclib.config.Configuration:
    """Return a configuration that ends a connection if pings go unanswered.

    A middlebox between two instances can lose the state of a connection: it
    stays open at both ends, but all data is lost. Without pings, bookings
    would go unanswered although all members are healthy. The underscores are
    grpclib's, which considers these options experimental.

    :param ping_s: seconds between pings.
    :param answer_s: seconds to wait for the answer to a ping.
    """
    return grpclib.config.Configuration(
        _keepalive_time=ping_s,
        _keepalive_timeout=answer_s,
        _http2_max_pings_without_data=0,
        # A lower bound, not the interval. Half of it, as timers are inexact.
        _http2_min_sent_ping_interval_without_data=ping_s / 2,
    )


class LinkOwner(typing.Protocol):
    """The interface of :class:`~.peers.Peers` that a link uses."""

    addresses_by_id: dict[str, tuple[str, int]]
    counters: Counters
    limits: Limits
    sealer: Sealer

    def drop(self, reason: DropReason) -> None: ...

    def report_fault(self, peer: str, sentence: str) -> None: ...


class Link:
    """The queue and the outgoing connection to one peer.

    :param peers: the object that this link belongs to.
    :param to: the peer's id.
    """

    def __init__(self, *, peers: LinkOwner, to: str) -> None:
        self._peers = peers
        self._to = to
        self._queue: collections.deque[_Queued] = collections.deque()
        self._queued_bytes = 0
        self._wake = asyncio.Event()
        self._drained = asyncio.Event()
        self._reconnect = asyncio.Event()
        self._failures = 0
        self._is_backing_off = False
        self._task = asyncio.get_running_loop().create_task(self._run())

    def put(self, kind: str, body: bytes) -> None:
        """Queue a message; drop it if the queue is full."""
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
        """Close the connection, or end the backoff before the next one."""
        self._reconnect.set()

    def end_backoff(self) -> None:
        """Retry at once; called when a message from the peer has arrived.

        Otherwise, after an outage of all voters, each entry could wait for
        up to five seconds more although the voters are back and answer
        others; single entries would keep an old configuration meanwhile.
        """
        if self._is_backing_off:
            self._failures = 0
            self._reconnect.set()

    async def close(self) -> None:
        """Send queued messages, within ``flush_s``, and close."""
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
            fault = await self._connect_until_reconnect()
            if fault is None:
                continue
            self._peers.counters.faults_by_reason[fault] += 1
            self._peers.report_fault(
                self._to, f'connection ended: {fault.value}'
            )
            if fault is not FaultReason.RECONNECT_ASKED:
                await self._back_off()

    async def _connect_until_reconnect(self) -> FaultReason | None:
        connection = asyncio.ensure_future(self._connect_and_send())
        requested = asyncio.ensure_future(self._reconnect.wait())
        try:
            await asyncio.wait(
                {connection, requested}, return_when=asyncio.FIRST_COMPLETED
            )
            if connection.done():
                return connection.result()
            return FaultReason.RECONNECT_ASKED
        finally:
            requested.cancel()
            connection.cancel()
            await asyncio.gather(connection, requested, return_exceptions=True)

    async def _connect_and_send(self) -> FaultReason | None:
        """Connect and send; return why it ended, ``None`` when idle."""
        address = self._peers.addresses_by_id.get(self._to)
        if address is None:
            return FaultReason.CONNECT_FAILED
        limits = self._peers.limits
        channel = grpclib.client.Channel(
            *address, config=keepalive(limits.ping_s, limits.ping_answer_s)
        )
        connected = False
        try:
            exchange = envelope_grpc.PeerStub(channel).Exchange
            async with exchange.open() as stream:
                async with asyncio.timeout(limits.connect_s):
                    await stream.send_request()
                    await stream.recv_initial_metadata()
                connected = True
                self._failures = 0
                self._peers.counters.connects += 1
                return await self._send_queued(stream)
        except Exception as error:
            # Any exception: if an unexpected one ended this task, the link
            # would never connect again and its messages would only expire.
            self._peers.report_fault(self._to, f'connection failed: {error!r}')
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
        # Without this pending read, only the next write would detect a broken
        # stream, and its message would be lost.
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
        """Return whether there is a message and the stream is usable."""
        if ended.done() or self._reconnect.is_set():
            # Messages sent after a request to reconnect must not use the old
            # connection, which may be dead.
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
        """Wait before the next attempt; a reconnect ends the wait.

        Without jitter, all instances would repeatedly connect to a restarted
        one at the same moments.
        """
        limits = self._peers.limits
        longest = min(
            limits.max_backoff_s, limits.min_backoff_s * 2**self._failures
        )
        self._failures = min(self._failures + 1, 16)
        delay = random.uniform(longest / 2, longest)
        self._is_backing_off = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay):
                await self._reconnect.wait()
        self._is_backing_off = False
