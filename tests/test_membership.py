"""Membership: failures that must not cause, or hide, a verdict."""

import asyncio
import collections
from collections import abc
import contextlib
import doctest
import heapq
import itertools
import pathlib
import random
import typing
import unittest

import msgspec
from nose2.tools import params

from dandeliongw import codec
from dandeliongw.coordination import membership
from dandeliongw.coordination import parts
from dandeliongw import peers
from dandeliongw.protocol import membership_pb2
from tests import relay

TICK_S = 0.1
#: Seconds after which an awaited condition counts as failed.
LIMIT_S = 30.0
DELAY_S = 0.001

CODEC = codec.Codec(
    data_classes=membership.MESSAGES, wire_modules=[membership_pb2]
)
Lost = abc.Callable[[str, str, typing.Any], bool]


def make_info(number: int) -> membership.InstanceInfo:
    return membership.InstanceInfo(
        host=f'10.0.0.{number}',
        port=7000,
        data_centre=f'dc-{number % 3}',
        region='one',
        callers_address=f'http://10.0.0.{number}:8080',
    )


class Lan:
    """Members on a virtual clock; ``lost`` decides which messages are lost."""

    def __init__(self, *, count: int, seed: int = 7) -> None:
        self.now = 0.0
        self.ids = [f'gw-{number}' for number in range(count)]
        self.lost: Lost = lambda sender, to, message: False
        self.frozen: set[str] = set()
        #: Bytes of the largest message of each kind.
        self.largest: collections.Counter[str] = collections.Counter()
        self.members: dict[str, membership.Membership] = {}
        self.incarnations: collections.Counter[str] = collections.Counter()
        #: (seconds, observer, effect other than a send)
        self.log: list[tuple[float, str, typing.Any]] = []
        self._random = random.Random(seed)
        self._order = itertools.count()
        self._inbox: list[tuple] = []
        for instance_id in self.ids:
            self.start(instance_id)

    def start(self, instance_id: str) -> None:
        self.incarnations[instance_id] += 1
        self.members[instance_id] = membership.Membership(
            instance_id=instance_id,
            incarnation=self.incarnations[instance_id],
            self_info=make_info(self.ids.index(instance_id)),
            seeds_by_id={
                seed: make_info(number)
                for number, seed in enumerate(self.ids[:3])
            },
        )

    def handle(self, instance_id: str, event: typing.Any) -> None:
        self._perform(instance_id, self.members[instance_id].handle(event))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            # Ticks first: a process that resumes may read its clock before
            # it receives the messages that arrived in the meantime.
            for instance_id in self.ids:
                if instance_id not in self.frozen:
                    entropy = self._random.getrandbits(64)
                    ticked = parts.Ticked(now=self.now, entropy=entropy)
                    self.handle(instance_id, ticked)
            self._deliver()

    def gossip(self, to: str, news: membership.MemberNews) -> None:
        message = membership.Gossip(news=(news,))
        event = parts.Received(now=self.now, sender='gw-1', message=message)
        self.handle(to, event)

    def states(self, of: str, *, but: abc.Collection[str] = ()) -> set[str]:
        """Return the states that all other members have for one member.

        :param but: observers to leave out.
        """
        return {
            self.state(observer, of)
            for observer in self.ids
            if observer not in (of, *but)
        }

    def state(self, observer: str, of: str) -> str:
        member = self.members[observer].members_by_id.get(of)
        return member.state.name if member else 'UNKNOWN'

    def changes_since(self, seconds: float) -> set[tuple[str, str, str]]:
        """Return (observer, member, state) of each change since a time."""
        return {
            (observer, effect.member.instance_id, effect.member.state.name)
            for at, observer, effect in self.log
            if at >= seconds and isinstance(effect, membership.MemberChanged)
        }

    def _perform(self, sender: str, effects: list[typing.Any]) -> None:
        for effect in effects:
            if not isinstance(effect, parts.Send):
                self.log.append((self.now, sender, effect))
            elif not self.lost(sender, effect.to, effect.message):
                self._put(sender, effect.to, effect.message)

    def _put(self, sender: str, to: str, message: typing.Any) -> None:
        at = self.now + DELAY_S
        encoded = CODEC.encode(message)
        kind, body = encoded
        self.largest[kind] = max(self.largest[kind], len(body))
        heapq.heappush(
            self._inbox, (at, next(self._order), sender, to, encoded)
        )

    def _deliver(self) -> None:
        undelivered = []
        while self._inbox and self._inbox[0][0] <= self.now:
            item = heapq.heappop(self._inbox)
            at, _, sender, to, encoded = item
            if to in self.frozen:
                undelivered.append(item)
                continue
            message = CODEC.decode(*encoded)
            self.handle(
                to,
                parts.Received(now=self.now, sender=sender, message=message),
            )
        for item in undelivered:
            heapq.heappush(self._inbox, item)


def joined(count: int = 9, *, seed: int = 7) -> Lan:
    lan = Lan(count=count, seed=seed)
    lan.run(5)
    return lan


class FaultFreeTest(unittest.TestCase):
    def test_all_members_are_discovered_from_three_seeds(self):
        lan = joined()
        for member in lan.members.values():
            self.assertEqual(lan.ids, member.alive_ids())
            self.assertEqual(make_info(8), member.members_by_id['gw-8'].info)

    def test_no_member_is_suspected_in_a_fault_free_minute(self):
        lan = joined()
        lan.run(60)
        self.assertEqual(set(), lan.changes_since(5))
        self.assertEqual(
            [],
            [e for _, _, e in lan.log if isinstance(e, membership.Reconnect)],
        )

    def test_entries_are_those_that_serve_and_do_not_drain(self):
        lan = joined()
        for instance_id in lan.ids[:4]:
            lan.handle(
                instance_id, membership.SetServing(now=lan.now, serving=True)
            )
        lan.run(5)
        lan.handle('gw-0', membership.SetDraining(now=lan.now, draining=True))
        lan.run(1)
        entries = lan.members['gw-8'].entries(lan.now)
        self.assertEqual(lan.ids[1:4], [e.instance_id for e in entries])
        self.assertEqual('http://10.0.0.1:8080', entries[0].callers_address)

    def test_a_leave_reaches_all_members_at_once(self):
        lan = joined()
        lan.handle('gw-4', membership.Leave(now=lan.now))
        lan.frozen.add('gw-4')
        lan.run(2 * TICK_S)
        self.assertEqual({'LEFT'}, lan.states('gw-4'))


def make_news(
    state: str, incarnation: int, revision: int
) -> membership.MemberNews:
    """Return an update of the state of gw-2."""
    return membership.MemberNews(
        instance_id='gw-2',
        incarnation=incarnation,
        revision=revision,
        state=membership.MemberState[state],
        draining=False,
        serving=True,
        info=make_info(2),
    )


def cut(*pairs: tuple[str, str]) -> Lost:
    return lambda sender, to, message: (sender, to) in pairs


def cut_off(*ids: str) -> Lost:
    """Lose all messages between these instances and all others."""
    return lambda sender, to, message: (sender in ids) != (to in ids)


class JoinTest(unittest.TestCase):
    """Guards against slow discovery when many instances start together.

    Each compares views with the seeds, which have few members yet, and then
    with one member in five seconds. With only this steady-state interval,
    200 instances took 27 s to discover each other, and until then sent no
    clients or work to undiscovered ones.
    """

    def test_members_that_start_together_discover_each_other_soon(self):
        lan = Lan(count=60)
        lan.run(6)
        for member in lan.members.values():
            self.assertEqual(sorted(lan.ids), member.alive_ids())

    def test_few_discovered_instances_are_contacted_at_once(self):
        """Guards against a burst of connections when many instances start.

        A seed returns all its members. When each of them was contacted, 78
        starting instances opened 53 connections each in a second.
        """
        lan = Lan(count=3)
        found = membership.Discovered(
            now=0.0,
            instance_ids=tuple(f'gw-{number}' for number in range(100, 200)),
        )
        contacted = [
            effect.to
            for effect in lan.members['gw-0'].handle(found)
            if isinstance(effect, parts.Send)
        ]
        self.assertEqual(3, len(set(contacted)))

    def test_all_missing_info_is_requested_in_the_next_round(self):
        """Guards against members staying unknown for an additional round.

        An answer consists of several messages. An earlier one contains a
        member without its info, the last one nothing new. Handling the last
        message must not reset the flag that info is missing.
        """
        lan = joined()
        lacking = msgspec.structs.replace(
            make_news('ALIVE', 1, 0), instance_id='gw-77', info=None
        )
        known = lan.members['gw-1'].members_by_id['gw-3']
        for news in (lacking, known.news(with_info=False)):
            part = membership.ViewPart(
                news=(news,), buckets=(), doubt=None, full=False
            )
            event = parts.Received(now=lan.now, sender='gw-3', message=part)
            lan.handle('gw-2', event)
        request = lan.members['gw-2']._comparison.make_request('gw-4').message
        self.assertTrue(request.full)


class DatagramTest(unittest.TestCase):
    """Which messages may be sent as datagrams, and so be lost unnoticed."""

    def sends(self, member: membership.Membership, event) -> dict[type, bool]:
        return {
            type(effect.message): effect.by_datagram
            for effect in member.handle(event)
            if isinstance(effect, parts.Send)
        }

    def test_a_retry_needs_no_datagrams(self):
        """Guards against mutual suspicion where datagrams are not delivered.

        If a middlebox at a new site drops all datagrams, the retry of a
        probe and its acknowledgement must use a stream.
        """
        lan = joined()
        lan.lost = cut(('gw-1', 'gw-2'))
        one, two = lan.members['gw-1'], lan.members['gw-2']
        tries: list[parts.Send] = []
        while len(tries) < 2:
            lan.now += TICK_S
            event = parts.Ticked(now=lan.now, entropy=7)
            tries += [
                effect
                for effect in one.handle(event)
                if isinstance(effect, parts.Send)
                and effect.to == 'gw-2'
                and isinstance(effect.message, membership.Probe)
            ]
        self.assertEqual([True, False], [each.by_datagram for each in tries])
        for each in tries:
            probe = parts.Received(
                now=lan.now, sender='gw-1', message=each.message
            )
            answer = self.sends(two, probe)[membership.ProbeAck]
            self.assertEqual(each.by_datagram, answer)

    def test_comparisons_go_over_streams(self):
        """They are large, and a lost part is not requested again."""
        lan = joined()
        two = lan.members['gw-2']
        hashes = membership.ViewHashes(
            own=make_news('ALIVE', 1, 0),
            hashes=(1,) * len(two._view.roster.hashes),
            full=True,
        )
        event = parts.Received(now=lan.now, sender='gw-1', message=hashes)
        self.assertFalse(self.sends(two, event)[membership.ViewPart])


class LinkFaultTest(unittest.TestCase):
    """Guards against repeatedly declaring a healthy member dead.

    One link fails while both its ends are healthy; a verdict must not depend
    on one observer and one connection.
    """

    @params(
        (cut(('gw-1', 'gw-2')),),
        (cut(('gw-2', 'gw-1')),),
        (cut(('gw-1', 'gw-2'), ('gw-2', 'gw-1')),),
    )
    def test_a_cut_link_causes_no_suspicion(self, lost):
        lan = joined()
        lan.lost = lost
        lan.run(30)
        self.assertEqual(set(), lan.changes_since(5))
        self.assertTrue(
            any(isinstance(e, membership.Reconnect) for _, _, e in lan.log)
        )

    def test_a_lost_acknowledgement_causes_no_suspicion(self):
        """Guards against suspecting a member after one lost message.

        Every first acknowledgement is lost and the second is delivered, so a
        probe must be retried before the verdict.
        """
        lan = joined()
        answered: set[tuple[str, int]] = set()

        def lost(sender, to, message):
            if not isinstance(message, membership.ProbeAck):
                return isinstance(message, membership.IndirectProbe)
            first = (to, message.sequence) not in answered
            answered.add((to, message.sequence))
            return first

        lan.lost = lost
        lan.run(20)
        self.assertEqual(set(), lan.changes_since(5))

    def test_two_members_that_suspect_each_other_stay_alive(self):
        """Guards against declaring both ends of a failed link dead.

        The link between two members is cut and indirect probes are lost, so
        each suspects the other, and a third receives both suspicions. Each
        suspected member must be notified and be able to refute.
        """
        lan = joined(3)
        both = cut(('gw-1', 'gw-2'), ('gw-2', 'gw-1'))
        lan.lost = lambda sender, to, message: (
            both(sender, to, message)
            or isinstance(message, membership.IndirectProbe)
        )
        lan.run(40)
        changes = lan.changes_since(5)
        self.assertIn(('gw-1', 'gw-2', 'SUSPECT'), changes)
        self.assertIn(('gw-2', 'gw-1', 'SUSPECT'), changes)
        self.assertEqual(set(), {b for b in changes if b[2] == 'DEAD'})


class DeathTest(unittest.TestCase):
    def test_a_death_is_known_to_all_within_its_time(self):
        lan = joined()
        lan.frozen.add('gw-4')
        # A probe, its verdict, the spread of the update, time to refute.
        lan.run(2 + 1 + 3 + lan.members['gw-0'].suspicion_s)
        self.assertEqual({'DEAD'}, lan.states('gw-4'))
        others = {b for b in lan.changes_since(5) if b[1] != 'gw-4'}
        self.assertEqual(set(), others)

    def test_every_loss_is_detected_within_the_bound(self):
        """Guards against sending clients to a lost instance for seconds.

        An instance is lost right after it was probed and by chance comes
        late in the next round of every member. Shuffled rounds alone bound
        the detection time only by their length: of 100 losses one took 5 s,
        and clients were sent to an instance without power for 6 s.
        """
        for seed in range(100):
            lan = joined(12, seed=seed)
            lan.run(1 + seed % 17 * TICK_S)
            lost = lan.ids[seed % 12]
            lan.frozen.add(lost)
            lan.run(membership.MAX_DETECTION_PERIODS)
            self.assertNotIn('ALIVE', lan.states(lost), f'seed {seed}')

    def test_a_loss_is_detected_while_others_are_frozen(self):
        """Guards against slow detection while other instances are frozen.

        Two more instances freeze at the moment of the loss; the one that
        watches the lost instance may be among them.
        """
        for seed in range(40):
            lan = joined(12, seed=seed)
            lan.run(1 + seed % 17 * TICK_S)
            lost, *still = random.Random(seed).sample(lan.ids, 3)
            lan.frozen.update((lost, *still))
            lan.run(membership.MAX_DETECTION_PERIODS)
            seen = lan.states(lost, but=still)
            self.assertNotIn('ALIVE', seen, f'seed {seed}')

    @params(1.5, 2.5, 4.5)
    def test_a_resumed_member_refutes_and_suspects_no_other(self, seconds):
        """Guards against a resumed process declaring its peers dead.

        It is frozen while one of its probes is in flight and finds the
        acknowledgement overdue when it resumes. Its own pause must not count
        as unresponsiveness of others.
        """
        lan = joined()

        def freeze(sender, to, message):
            if sender == 'gw-4' and isinstance(message, membership.Probe):
                lan.frozen.add('gw-4')
            return False

        lan.lost = freeze
        while not lan.frozen:
            lan.run(TICK_S)
        lan.lost = lambda *message: False
        start = lan.now
        lan.run(seconds)
        lan.frozen.clear()
        lan.run(5)
        self.assertEqual({'ALIVE'}, lan.states('gw-4'))
        changes = lan.changes_since(start)
        self.assertEqual(set(), {b for b in changes if b[1] != 'gw-4'})
        self.assertEqual(set(), {b for b in changes if b[2] == 'DEAD'})

    def test_a_member_frozen_for_a_minute_rejoins(self):
        lan = joined()
        lan.frozen.add('gw-4')
        lan.run(60)
        self.assertEqual({'DEAD'}, lan.states('gw-4'))
        lan.frozen.clear()
        lan.run(15)
        self.assertEqual({'ALIVE'}, lan.states('gw-4'))
        self.assertEqual(lan.ids, lan.members['gw-4'].alive_ids())

    def test_a_left_member_is_removed_after_its_retention(self):
        lan = joined(3)
        lan.handle('gw-2', membership.Leave(now=lan.now))
        lan.frozen.add('gw-2')
        lan.run(10)
        lan.now += membership.RETENTION_S
        lan.run(1)
        self.assertEqual({'UNKNOWN'}, lan.states('gw-2'))
        forgotten = membership.MemberForgotten(instance_id='gw-2')
        self.assertIn(forgotten, [effect for _, _, effect in lan.log])


class PartitionTest(unittest.TestCase):
    @params(4, 6, 8, 30)
    def test_an_isolated_member_causes_no_suspicion_of_others(self, seconds):
        """Guards against mutual suspicion of all instances for some seconds.

        One instance is isolated, declares all others dead and reconnects. It
        must not gossip verdicts made while it received no messages.
        """
        lan = joined()
        lan.lost = cut_off('gw-4')
        lan.run(seconds)
        self.assertNotIn('ALIVE', lan.states('gw-4'))
        lan.lost = lambda *message: False
        back = lan.now
        lan.run(15)
        self.assertEqual({'ALIVE'}, lan.states('gw-4'))
        self.assertEqual(lan.ids, lan.members['gw-4'].alive_ids())
        doubts = {
            (observer, of)
            for observer, of, state in lan.changes_since(back)
            if state != 'ALIVE' and 'gw-4' not in (observer, of)
        }
        self.assertEqual(set(), doubts)

    def test_two_halves_of_a_partition_rejoin(self):
        """Guards against a partition that persists after the network heals.

        Each half has declared the other dead. Unless dead members are still
        contacted, the halves never rejoin.
        """
        lan = joined()
        lan.lost = cut_off(*lan.ids[:4])
        lan.run(30)
        self.assertEqual(lan.ids[:4], lan.members['gw-0'].alive_ids())
        self.assertEqual(lan.ids[4:], lan.members['gw-8'].alive_ids())
        lan.lost = lambda *message: False
        lan.run(20)
        for member in lan.members.values():
            self.assertEqual(lan.ids, member.alive_ids())

    def test_a_leave_missed_in_isolation_is_received_and_final(self):
        """Guards against listing an instance that left for clients again.

        One instance is isolated while another leaves, and reconnects with
        the leaver still marked alive. A leave must be retained, and sent more
        than once.
        """
        lan = joined()
        lan.lost = cut_off('gw-4')
        lan.run(1)
        lan.handle('gw-7', membership.Leave(now=lan.now))
        lan.frozen.add('gw-7')
        lan.run(3)
        lan.lost = lambda *message: False
        back = lan.now
        lan.run(20)
        self.assertEqual({'LEFT'}, lan.states('gw-7'))
        revived = {
            b for b in lan.changes_since(back) if b[1:] == ('gw-7', 'ALIVE')
        }
        self.assertEqual(set(), {b for b in revived if b[0] != 'gw-4'})


class IncarnationTest(unittest.TestCase):
    """Guards against flapping members and dead processes listed for clients.

    A process ends and another starts with its id and address; updates about
    the first arrive later. Updates need an order that survives a restart.
    """

    def test_a_restart_is_a_new_process_at_once(self):
        lan = joined()
        lan.start('gw-4')
        lan.run(5)
        self.assertEqual({'ALIVE'}, lan.states('gw-4'))
        incarnations = {
            member.members_by_id['gw-4'].incarnation
            for member in lan.members.values()
        }
        self.assertEqual({2}, incarnations)

    @params(
        ('ALIVE', 1, 99),
        ('SUSPECT', 1, 99),
        ('DEAD', 1, 99),
        ('LEFT', 1, 99),
        ('ALIVE', 2, 0),
    )
    def test_a_stale_update_changes_nothing(
        self, state, incarnation, revision
    ):
        lan = joined(3)
        lan.start('gw-2')
        lan.run(5)
        self.check(lan, make_news(state, incarnation, revision), 'ALIVE')

    @params(('ALIVE',), ('SUSPECT',), ('DEAD',))
    def test_a_leave_is_final_in_its_incarnation(self, state):
        lan = joined(3)
        lan.handle('gw-2', membership.Leave(now=lan.now))
        lan.frozen.add('gw-2')
        lan.run(1)
        self.check(lan, make_news(state, 1, 99), 'LEFT')

    def test_a_death_reported_by_others_starts_as_a_suspicion(self):
        """Guards against one faulty instance removing others everywhere.

        Its verdict arrives at an instance whose probes the member answers.
        The member must get time to refute a verdict before it is adopted.
        """
        self.check(joined(3), make_news('DEAD', 1, 0), 'SUSPECT')

    def check(self, lan, news, expected):
        """Send gw-0 an update of gw-2 and compare its state of gw-2 then."""
        before = lan.members['gw-0'].members_by_id['gw-2']
        lan.gossip('gw-0', news)
        after = lan.members['gw-0'].members_by_id['gw-2']
        self.assertEqual(expected, after.state.name)
        self.assertEqual(before.incarnation, after.incarnation)
        self.assertEqual(before.revision, after.revision)

    def test_a_process_whose_id_was_taken_over_is_notified(self):
        lan = joined(3)
        lan.gossip('gw-2', make_news('ALIVE', 2, 0))
        self.assertIn(
            membership.Superseded(incarnation=2), [e for _, _, e in lan.log]
        )


class BoundTest(unittest.TestCase):
    def test_messages_stay_small_while_fifty_join(self):
        """Guards against late heartbeats and full links when a rack returns.

        Many members change at once; their updates must not all go into one
        message.
        """
        lan = Lan(count=50)
        lan.run(20)
        for member in lan.members.values():
            self.assertEqual(50, len(member.alive_ids()))
        for kind in ('Probe', 'ProbeAck', 'Gossip'):
            self.assertLess(lan.largest[kind], 256, kind)


class Process:
    """A member with real connections and a clock advanced by the test."""

    def __init__(self, number: int, addresses: dict) -> None:
        self.id = f'gw-{number}'
        self.member = membership.Membership(
            instance_id=self.id,
            incarnation=1,
            self_info=make_info(number),
            seeds_by_id={f'gw-{1 - number}': make_info(1 - number)},
        )
        self.peers = peers.Peers(
            instance_id=self.id,
            incarnation=1,
            host='127.0.0.1',
            port=0,
            addresses_by_id=addresses,
            codec=CODEC,
            secret=b'secret',
            on_message=self.receive,
            on_fault=lambda peer, text: None,
        )
        self.now = 0.0
        self.changes: list[membership.Member] = []
        self.received: list[typing.Any] = []
        self.probes = 0
        self.reconnects = 0
        self.arrived = asyncio.Event()

    def tick(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self.perform(self.member.handle(ticked(self.now)))

    def probe(self) -> None:
        """Let time pass until the next probe goes out."""
        before = self.probes
        while self.probes == before:
            self.tick(TICK_S)

    def receive(self, sender: str, message: typing.Any) -> None:
        self.received.append(message)
        event = parts.Received(now=self.now, sender=sender, message=message)
        self.perform(self.member.handle(event))
        self.arrived.set()

    def perform(self, effects: list[typing.Any]) -> None:
        for effect in effects:
            match effect:
                case parts.Send():
                    self.probes += isinstance(effect.message, membership.Probe)
                    self.peers.send(effect.to, effect.message)
                case membership.Reconnect():
                    self.reconnects += 1
                    self.peers.reconnect(effect.to)
                case membership.MemberChanged():
                    self.changes.append(effect.member)

    async def until(self, condition: abc.Callable[[], bool]) -> None:
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                self.arrived.clear()
                await self.arrived.wait()

    def acks(self) -> int:
        return sum(isinstance(m, membership.ProbeAck) for m in self.received)


def ticked(now: float) -> parts.Ticked:
    return parts.Ticked(now=now, entropy=round(now * 1000))


@contextlib.asynccontextmanager
async def two_processes() -> abc.AsyncIterator[
    tuple[Process, Process, list[relay.Relay]]
]:
    """Two joined members, with a relay in each direction between them."""
    addresses: list[dict[str, tuple[str, int]]] = [{}, {}]
    both = [Process(number, addresses[number]) for number in range(2)]
    async with contextlib.AsyncExitStack() as stack:
        relays = []
        for number, process in enumerate(both):
            await process.peers.start()
            stack.push_async_callback(process.peers.stop)
            between = relay.Relay(host='127.0.0.1', port=process.peers.port)
            await stack.enter_async_context(between.running())
            addresses[1 - number][process.id] = ('127.0.0.1', between.port)
            relays.append(between)
        both[0].tick(0.1)
        await both[0].until(lambda: len(both[0].member.members_by_id) == 2)
        await both[1].until(lambda: len(both[1].member.members_by_id) == 2)
        yield both[0], both[1], relays


class SilentConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a healthy member being declared dead permanently.

    The connection for the probes, or the one for the acknowledgements, stops
    delivering while new connections work. A verdict must not depend on one
    connection.
    """

    async def test_probes_go_over_a_new_connection(self):
        await self._recover(towards=1)

    async def test_acknowledgements_go_over_a_new_connection(self):
        await self._recover(towards=0)

    async def _recover(self, *, towards: int) -> None:
        async with two_processes() as (one, two, relays):
            # Establish a working connection in both directions.
            one.probe()
            await one.until(lambda: one.acks() == 1)
            relays[towards].blackhole()
            silent = relays[towards].connections[-1]
            dropped = silent.dropped
            one.probe()
            await relays[towards].until(lambda: silent.dropped > dropped)
            self.assertEqual(1, one.acks())
            one.probe()  # The retry of the same probe.
            await one.until(lambda: one.acks() == 2)
            one.tick(0.8)  # Past the verdict.
            suspected = [m for m in one.changes if m.state.name != 'ALIVE']
            self.assertEqual([], suspected)
            self.assertEqual([1, 1], [one.reconnects, two.reconnects])


class PageTest(unittest.TestCase):
    def test_the_example_of_the_page_runs(self):
        page = pathlib.Path(__file__).parents[1] / 'docs' / 'MEMBERSHIP.md'
        failed, run = doctest.testfile(str(page), module_relative=False)
        self.assertEqual(0, failed)
        self.assertGreater(run, 0)
