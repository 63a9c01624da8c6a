"""Messages between instances: delivery, drops, faults and their counts."""

import asyncio
from collections import abc
import contextlib
import socket
import time
import typing
import unittest

import msgspec
from nose2.tools import params

from dandeliongw import codec
from dandeliongw import datagrams
from dandeliongw import envelopes
from dandeliongw import peers
from dandeliongw.protocol import envelope_pb2
from tests import relay

SECRET = b'shared by all instances'
#: Seconds after which an awaited condition counts as failed.
LIMIT_S = 30.0


class Received(msgspec.Struct, frozen=True, kw_only=True):
    """A small message; any will do, this one has a protobuf class."""

    count: int


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """A message that can be large."""

    body: bytes


class Node:
    """One instance, with the messages and faults that it received."""

    def __init__(
        self,
        *,
        instance_id: str,
        addresses_by_id: dict[str, tuple[str, int]],
        incarnation: int = 1,
        port: int = 0,
        limits: peers.Limits = peers.Limits(),
    ) -> None:
        self.inbox: asyncio.Queue[tuple[str, int]] = asyncio.Queue()
        self.faults: asyncio.Queue[str] = asyncio.Queue()
        self.peers = peers.Peers(
            instance_id=instance_id,
            incarnation=incarnation,
            host='127.0.0.1',
            port=port,
            addresses_by_id=addresses_by_id,
            codec=codec.Codec(
                data_classes=[Received, Envelope], wire_modules=[envelope_pb2]
            ),
            secret=SECRET,
            on_message=self.receive,
            on_fault=lambda peer, text: self.faults.put_nowait(text),
            limits=limits,
        )

    def receive(self, sender: str, message: typing.Any) -> None:
        if isinstance(message, Received):
            self.inbox.put_nowait((sender, message.count))

    async def next(self) -> tuple[str, int]:
        return await asyncio.wait_for(self.inbox.get(), LIMIT_S)

    async def fault(self, part: str) -> str:
        async with asyncio.timeout(LIMIT_S):
            while part not in (text := await self.faults.get()):
                pass
        return text

    def drops(self, reason: envelopes.DropReason) -> int:
        return self.peers.counters.drops_by_reason[reason]


@contextlib.asynccontextmanager
async def running(**settings: typing.Any) -> abc.AsyncIterator[Node]:
    node = Node(**settings)
    await node.peers.start()
    address = ('127.0.0.1', node.peers.port)
    settings['addresses_by_id'][node.peers.instance_id] = address
    try:
        yield node
    finally:
        await node.peers.stop()


@contextlib.asynccontextmanager
async def running_pair(
    **settings: typing.Any,
) -> abc.AsyncIterator[tuple[Node, Node]]:
    addresses_by_id: dict[str, tuple[str, int]] = {}
    settings['addresses_by_id'] = addresses_by_id
    async with running(instance_id='gw-1', **settings) as one:
        async with running(instance_id='gw-2', **settings) as two:
            yield one, two


class DeliveryTest(unittest.IsolatedAsyncioTestCase):
    async def test_messages_arrive_in_order_both_ways_and_locally(self):
        async with running_pair() as (one, two):
            for count in range(3):
                one.peers.send('gw-2', Received(count=count))
            two.peers.send('gw-1', Received(count=7))
            two.peers.send('gw-2', Received(count=8))
            got = {await two.next() for _ in range(4)}
            expected = {('gw-1', 0), ('gw-1', 1), ('gw-1', 2), ('gw-2', 8)}
            self.assertEqual(expected, got)
            self.assertEqual(('gw-2', 7), await one.next())

    async def test_a_reconnect_uses_a_new_connection(self):
        async with running_pair() as (one, two):
            one.peers.send('gw-2', Received(count=1))
            await two.next()
            one.peers.reconnect('gw-2')
            await one.fault('reconnect_asked')
            one.peers.send('gw-2', Received(count=2))
            self.assertEqual(('gw-1', 2), await two.next())
            self.assertEqual(2, one.peers.counters.connects)

    async def test_a_restarted_peer_is_reached_again(self):
        """The sender must not keep the connection to a stopped peer.

        After gw-2 restarts on the same port, gw-1's messages would be lost if
        a broken stream were detected only by writing, or if a stop left
        connections open and unread.
        """
        addresses: dict[str, tuple[str, int]] = {}
        async with running(instance_id='gw-1', addresses_by_id=addresses) as a:
            first = {'instance_id': 'gw-2', 'addresses_by_id': addresses}
            async with running(**first) as two:
                a.peers.send('gw-2', Received(count=1))
                await two.next()
            await a.fault('stream_broken')
            port = addresses['gw-2'][1]
            async with running(**first, port=port, incarnation=2) as two:
                a.peers.send('gw-2', Received(count=2))
                self.assertEqual(('gw-1', 2), await two.next())

    async def test_a_message_from_a_peer_ends_the_backoff(self):
        """A message from a peer ends the backoff before the next connect.

        During an outage of all voters, attempts to connect fail and the
        backoff grows. If it continued after a voter has sent a message,
        single entries would keep an old configuration for seconds longer
        than others.
        """
        limits = peers.Limits(
            min_backoff_s=100 * LIMIT_S,
            max_backoff_s=100 * LIMIT_S,
            max_age_s=100 * LIMIT_S,
        )
        addresses: dict[str, tuple[str, int]] = {}
        near = {'instance_id': 'gw-1', 'addresses_by_id': addresses}
        far = {'instance_id': 'gw-2', 'addresses_by_id': addresses}
        async with running(**near, limits=limits) as one:
            async with running(**far):
                pass
            one.peers.send('gw-2', Received(count=1))
            await one.fault('ended: connect_failed')
            port = addresses['gw-2'][1]
            async with running(**far, port=port, incarnation=2) as two:
                two.peers.send('gw-1', Received(count=2), by_datagram=True)
                self.assertEqual(('gw-2', 2), await one.next())
                self.assertEqual(('gw-1', 1), await two.next())

    async def test_a_wrong_address_does_not_end_the_attempts(self):
        """A connect may fail with an error that is not a network error.

        If it ended the task that connects, the peer would stay unreachable
        after its address was corrected.
        """
        async with running_pair() as (one, two):
            address = one.peers.addresses_by_id['gw-2']
            one.peers.set_address('gw-2', ('127.0.0.1', 70_000))
            one.peers.send('gw-2', Received(count=1))
            await one.fault('connect_failed')
            one.peers.set_address('gw-2', address)
            one.peers.send('gw-2', Received(count=2))
            async with asyncio.timeout(LIMIT_S):
                while (await two.next())[1] != 2:
                    pass

    async def test_a_stop_sends_what_is_queued(self):
        async with running_pair() as (one, two):
            one.peers.send('gw-2', Received(count=1))
            await one.peers.stop()
            self.assertEqual(('gw-1', 1), await two.next())
            one.peers.send('gw-2', Received(count=2))
            self.assertEqual(1, one.drops(envelopes.DropReason.STOPPED))

    async def test_an_idle_connection_is_closed_and_opened_again(self):
        limits = peers.Limits(idle_s=0.01)
        async with running_pair(limits=limits) as (one, two):
            async with asyncio.timeout(LIMIT_S):
                while one.peers.counters.connects < 2:
                    one.peers.send('gw-2', Received(count=1))
                    await two.next()
                    await asyncio.sleep(limits.idle_s)
            self.assertEqual({}, dict(one.peers.counters.faults_by_reason))


class BacklogTest(unittest.IsolatedAsyncioTestCase):
    COUNT = 300
    MESSAGE_S = 0.004

    async def test_other_work_is_done_between_waiting_messages(self):
        """Guards against a busy instance that never gets to its tick."""
        async with running_pair() as (one, two):
            receive, before_tick = two.receive, []

            def handle(sender, message):
                time.sleep(self.MESSAGE_S)
                receive(sender, message)
                if two.inbox.qsize() == 1:
                    loop = asyncio.get_running_loop()
                    loop.call_soon(
                        lambda: before_tick.append(two.inbox.qsize())
                    )

            two.peers._on_message = handle
            for count in range(self.COUNT):
                one.peers.send('gw-2', Received(count=count))
            async with asyncio.timeout(LIMIT_S):
                while two.inbox.qsize() < self.COUNT:
                    await asyncio.sleep(0.01)
            (handled,) = before_tick
            self.assertLess(handled, peers.MAX_TURN_S / self.MESSAGE_S + 5)


class DatagramTest(unittest.IsolatedAsyncioTestCase):
    """Probes go as datagrams, so that they need no connections.

    Each of 200 instances probes the others in turn, once a second. Over
    streams, the first probe of a peer would open a connection that stays, and
    each instance would hold connections to all others.
    """

    async def test_a_datagram_opens_no_connection(self):
        async with running_pair() as (one, two):
            one.peers.send('gw-2', Received(count=1), by_datagram=True)
            self.assertEqual(('gw-1', 1), await two.next())
            self.assertEqual(0, one.peers.counters.connects)
            self.assertEqual(1, one.peers.counters.sent)
            self.assertEqual(
                one.peers.counters.sent_bytes,
                two.peers.counters.received_bytes,
            )

    async def test_datagrams_and_streams_have_separate_counters(self):
        """A datagram may overtake a stream message that was sent before it.

        With one counter for both, the stream message would be dropped as
        replayed.
        """
        async with running_pair() as (one, two):
            one.peers.send('gw-2', Received(count=1))
            one.peers.send('gw-2', Received(count=2), by_datagram=True)
            got = {await two.next(), await two.next()}
            self.assertEqual({('gw-1', 1), ('gw-1', 2)}, got)

    async def test_a_large_message_goes_over_a_stream(self):
        async with running_pair() as (one, two):
            large = Envelope(body=bytes(datagrams.MAX_BYTES))
            one.peers.send('gw-2', large, by_datagram=True)
            one.peers.send('gw-2', Received(count=1))
            self.assertEqual(('gw-1', 1), await two.next())
            self.assertEqual(2, two.peers.counters.received)
            self.assertEqual(1, one.peers.counters.connects)

    async def test_a_host_name_is_not_resolved_on_the_event_loop(self):
        """A message to a host name is not sent as a datagram.

        Sending a datagram would resolve the name synchronously, and a slow
        name server would block the instance.
        """
        async with running_pair() as (one, two):
            port = one.peers.addresses_by_id['gw-2'][1]
            one.peers.set_address('gw-2', ('localhost', port))
            one.peers.send('gw-2', Received(count=1), by_datagram=True)
            self.assertEqual(('gw-1', 1), await two.next())
            self.assertEqual(1, one.peers.counters.connects)

    async def test_unauthenticated_datagrams_are_dropped(self):
        async with running_pair() as (one, two):
            address = one.peers.addresses_by_id['gw-2']
            stream_envelope = seal().SerializeToString()
            with socket.socket(type=socket.SOCK_DGRAM) as stranger:
                for sent in (b'\xff', stream_envelope):
                    stranger.sendto(sent, address)
            one.peers.send('gw-2', Received(count=1), by_datagram=True)
            self.assertEqual(('gw-1', 1), await two.next())
            self.assertEqual(1, two.drops(envelopes.DropReason.NOT_DECODED))
            self.assertEqual(1, two.drops(envelopes.DropReason.BAD_PROOF))


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_port_in_use_names_host_and_port(self):
        async with running_pair() as (one, _):
            port = one.peers.port
            third = Node(instance_id='gw-3', addresses_by_id={}, port=port)
            with self.assertRaisesRegex(
                peers.AddressInUse, f'127.0.0.1:{port} is in use'
            ):
                await third.peers.start()

    async def test_a_large_message_is_dropped_with_its_size(self):
        limits = peers.Limits(max_envelope_bytes=2)
        async with running_pair(limits=limits) as (one, _):
            one.peers.send('gw-2', Received(count=2**40))
            await one.fault('Received of 7 bytes is over the limit of 2')
            self.assertEqual(1, one.drops(envelopes.DropReason.TOO_LARGE))

    async def test_unsendable_messages_are_counted_by_reason(self):
        """One unresponsive peer must not fill memory or block the loop."""
        limits = peers.Limits(max_queued=2)
        node = Node(
            instance_id='gw-1',
            addresses_by_id={'gw-2': ('127.0.0.1', 1)},
            limits=limits,
        )
        for _ in range(5):
            node.peers.send('gw-2', Received(count=1))
        node.peers.send('gw-9', Received(count=1))
        node.peers.send('gw-2', 'not a message')
        reasons = envelopes.DropReason
        self.assertEqual(3, node.drops(reasons.QUEUE_FULL))
        self.assertEqual(1, node.drops(reasons.UNKNOWN_PEER))
        self.assertEqual(1, node.drops(reasons.NOT_ENCODED))
        await node.fault('connect_failed')
        await node.peers.stop()


def seal(
    *, incarnation: int = 5, secret: bytes | None = SECRET, times: int = 1
) -> envelope_pb2.Envelope:
    """Return the envelope sealed last of ``times``, so with that counter."""
    sealer = envelopes.Sealer(
        sender='gw-1', incarnation=incarnation, secret=secret
    )
    for _ in range(times):
        envelope = sealer.seal('gw-2', 'Received', b'\x08\x01')
    return envelope


def change(**fields: typing.Any) -> envelope_pb2.Envelope:
    envelope = seal(times=9)
    for name, value in fields.items():
        setattr(envelope, name, value)
    return envelope


class EnvelopeTest(unittest.TestCase):
    """Forged, modified, misdirected, replayed and outdated envelopes drop.

    An envelope may also arrive after its sender's restart. TCP authenticates
    neither the sender of a byte nor when it was sent.
    """

    @params(
        (seal(times=2), None),
        (seal(incarnation=6), None),
        (seal(times=1), envelopes.DropReason.REPLAYED),
        (seal(incarnation=4, times=3), envelopes.DropReason.OLD_INCARNATION),
        (seal(secret=b'another', times=2), envelopes.DropReason.BAD_PROOF),
        (seal(secret=None, times=2), envelopes.DropReason.BAD_PROOF),
        (change(proof=b''), envelopes.DropReason.BAD_PROOF),
        (change(sender='gw-3'), envelopes.DropReason.BAD_PROOF),
        (change(incarnation=9), envelopes.DropReason.BAD_PROOF),
        (change(kind='Receive'), envelopes.DropReason.BAD_PROOF),
        (change(body=b'\x08\x02'), envelopes.DropReason.BAD_PROOF),
        (change(recipient='gw-3'), envelopes.DropReason.WRONG_RECIPIENT),
    )
    def test_second_envelope(self, envelope, reason):
        opener = envelopes.Opener(recipient='gw-2', secret=SECRET)
        self.assertIsNone(opener.check(seal(times=1)))
        self.assertEqual(reason, opener.check(envelope))


@contextlib.asynccontextmanager
async def relayed(
    limits: peers.Limits = peers.Limits(),
) -> abc.AsyncIterator[tuple[Node, Node, relay.Relay]]:
    """Run two instances; gw-1 connects to gw-2 through a relay."""
    two = {'instance_id': 'gw-2', 'addresses_by_id': {}}
    async with running(**two) as far:
        between = relay.Relay(host='127.0.0.1', port=far.peers.port)
        async with between.running():
            addresses = {'gw-2': ('127.0.0.1', between.port)}
            one = {'instance_id': 'gw-1', 'addresses_by_id': addresses}
            async with running(**one, limits=limits) as near:
                near.peers.send('gw-2', Received(count=0))
                await far.next()
                yield near, far, between


class SilentConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A connection that loses all data must be detected and replaced.

    A middlebox between the ends can lose the state of a connection while both
    ends keep it open. TCP reports no error while bytes are merely
    unacknowledged, so messages to a healthy peer would be lost for good.
    """

    # Without nose2's ``params``, which does not await coroutines.
    async def test_a_reconnect_gets_through_after_a_cut_there(self):
        await self._recover(relay.Direction.THERE)

    async def test_a_reconnect_gets_through_after_a_cut_back(self):
        await self._recover(relay.Direction.BACK)

    async def test_a_reconnect_gets_through_after_a_cut_both_ways(self):
        await self._recover(*relay.Direction)

    async def _recover(self, *directions: relay.Direction) -> None:
        async with relayed() as (one, two, between):
            between.blackhole(*directions)
            one.peers.send('gw-2', Received(count=1))
            if relay.Direction.THERE in directions:
                silent = between.connections[0]
                await between.until(lambda: silent.dropped > 0)
                self.assertTrue(two.inbox.empty())
            one.peers.reconnect('gw-2')
            one.peers.send('gw-2', Received(count=2))
            async with asyncio.timeout(LIMIT_S):
                while (await two.next())[1] != 2:
                    pass
            self.assertEqual(2, one.peers.counters.connects)

    async def test_without_a_reconnect_nothing_arrives(self):
        """The relay causes the fault that the tests above recover from."""
        async with relayed() as (one, two, between):
            between.blackhole()
            silent = between.connections[0]
            one.peers.send('gw-2', Received(count=1))
            await between.until(lambda: silent.dropped > 0)
            self.assertTrue(two.inbox.empty())
            self.assertEqual({}, dict(one.peers.counters.faults_by_reason))

    async def test_pings_find_a_silent_connection(self):
        """Pings check the connection itself, which probes do not use.

        Otherwise, if an entry's connection to an owner loses all data, its
        bookings would go unanswered for minutes while all members are
        healthy.
        """
        limits = peers.Limits(ping_s=0.05, ping_answer_s=0.05)
        async with relayed(limits=limits) as (one, two, between):
            between.blackhole()
            await one.fault('stream_broken')
            one.peers.send('gw-2', Received(count=1))
            self.assertEqual(('gw-1', 1), await two.next())

    async def test_a_connection_that_answers_pings_stays(self):
        limits = peers.Limits(ping_s=0.01, ping_answer_s=LIMIT_S)
        async with relayed(limits=limits) as (one, two, between):
            passed = between.connections[0].passed
            await between.until(
                lambda: between.connections[0].passed > passed + 200
            )
            one.peers.send('gw-2', Received(count=1))
            await two.next()
            self.assertEqual(1, one.peers.counters.connects)

    async def test_a_peer_that_accepts_but_never_answers_is_a_fault(self):
        """The kernel accepts connections on behalf of a frozen process.

        So an accepted connection doesn't prove that the process runs, and
        messages would wait for a peer that never answers.
        """
        async with relayed() as (one, _, between):
            between.cut_all(relay.Direction.BACK)
            one.peers.limits = peers.Limits(connect_s=0.05)
            one.peers.reconnect('gw-2')
            await one.fault('reconnect_asked')
            one.peers.send('gw-2', Received(count=1))
            await one.fault('connect_failed')

    async def test_a_peer_that_stops_reading_is_a_fault(self):
        """A write that blocks for too long ends the connection.

        If a peer freezes, the flow-control window fills up and the next write
        blocks. Without a time-out, messages to the peer would expire for
        minutes.
        """
        async with relayed() as (one, _, between):
            one.peers.limits = peers.Limits(
                progress_s=0.05, max_queued_bytes=2**24
            )
            between.blackhole(relay.Direction.BACK)
            # More than the 4 MiB that grpclib lets a stream send unread.
            large = Envelope(body=bytes(peers.MAX_ENVELOPE_BYTES - 100))
            for _ in range(5):
                one.peers.send('gw-2', large)
            await one.fault('no_progress')
