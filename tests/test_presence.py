"""Presence of backend servers: leaves, leases and stale announcements."""

import itertools
import typing
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec
from nose2.tools import params

from dandeliongw import codec
from dandeliongw.coordination import _departures
from dandeliongw.coordination import _fronts
from dandeliongw.coordination import parts
from dandeliongw.coordination import presence
from dandeliongw.protocol import presence_pb2

CODEC = codec.Codec(
    data_classes=presence.MESSAGES, wire_modules=[presence_pb2]
)
START = presence.BackendStart(backend_id='be-1', incarnation=1)
LOAD = presence.BackendLoad(
    running=3, waiting=1, queued_tokens=900, slots_used=3, kv_bytes=2**34
)


def make_announcement(
    *,
    backend_id: str = 'be-1',
    incarnation: int = 1,
    sequence: int = 1,
    url: str = 'http://10.1.0.1:9000',
) -> presence.BackendAnnouncement:
    return presence.BackendAnnouncement(
        backend_id=backend_id,
        incarnation=incarnation,
        sequence=sequence,
        service='dieline-llm',
        role=presence.BackendRole.DECODE,
        url=url,
        data_centre='austin-a',
        slots=20,
        checks_fence=True,
    )


class Lan:
    """Instances on a virtual clock; messages wait until delivered."""

    def __init__(
        self,
        *ids: str,
        voters: tuple[str, ...] = (),
        lease_s: float = presence.LEASE_S,
    ) -> None:
        self.now = 100.0
        self.lease_s = lease_s
        self.parts = {each: self.make(each, voters) for each in ids}
        self.records: dict[str, list] = {each: [] for each in ids}
        #: Instances whose disks answer nothing.
        self.stalled: set[str] = set()
        self.wire: list[tuple[str, str, typing.Any]] = []
        #: Whether all messages without a connection are lost.
        self.loses_datagrams = False
        #: Recipients of leaves over connections.
        self.connections: list[str] = []
        self.changes: list[tuple[str, presence.BackendChanged]] = []
        self.hints: list[presence.CacheHints] = []
        self.outcomes: list[presence.PresenceOutcome] = []
        for each in ids:
            self.introduce(each, voters)

    def make(
        self, instance_id: str, voters: tuple[str, ...]
    ) -> presence.Presence:
        return presence.Presence(
            instance_id=instance_id,
            has_disk=instance_id in voters,
            lease_s=self.lease_s,
        )

    def introduce(self, instance_id: str, voters: tuple[str, ...]) -> None:
        """Tell an instance of the others and of the voters."""
        ids = tuple(self.parts)
        for event in (
            presence.SetInstances(now=self.now, instance_ids=ids),
            presence.SetVoters(now=self.now, voter_ids=frozenset(voters)),
        ):
            self.handle(instance_id, event)

    def restart(self, instance_id: str, voters: tuple[str, ...] = ()) -> None:
        """Start an instance anew, with what is on its disk."""
        made = self.make(instance_id, voters)
        for record in self.records[instance_id]:
            made.restore(record)
        self.parts[instance_id] = made
        self.introduce(instance_id, voters)
        ids = tuple(self.parts)
        for each in self.parts:
            started = {instance_id} if each != instance_id else ids
            self.handle(
                each,
                presence.SetInstances(
                    now=self.now,
                    instance_ids=ids,
                    started_ids=frozenset(started),
                ),
            )

    def handle(self, to: str, event: typing.Any) -> None:
        for effect in self.parts[to].handle(event):
            match effect:
                case parts.Send():
                    self._send(to, effect)
                case parts.Complete():
                    self.outcomes.append(effect.result)
                case parts.Persist() if to not in self.stalled:
                    self.records[to] += effect.records
                    self.handle(
                        to, parts.Persisted(now=self.now, token=effect.token)
                    )
                case presence.BackendChanged():
                    self.changes.append((to, effect))
                case presence.CacheHints():
                    self.hints.append(effect)

    def _send(self, sender: str, effect: parts.Send) -> None:
        if effect.by_datagram and self.loses_datagrams:
            return
        if not effect.by_datagram and getattr(
            effect.message, 'departures', ()
        ):
            self.connections.append(effect.to)
        self.wire.append((sender, effect.to, effect.message))

    def receive(self, sender: str, to: str, message: typing.Any) -> None:
        decoded = CODEC.decode(*CODEC.encode(message))
        event = parts.Received(now=self.now, sender=sender, message=decoded)
        self.handle(to, event)

    def deliver(self, *, but: str = '') -> None:
        """Deliver all messages in transit, and those sent in response."""
        while self.wire:
            sender, to, message = self.wire.pop(0)
            # A test may post messages of an instance that it doesn't run.
            if to != but and to in self.parts:
                self.receive(sender, to, message)

    def pass_time(self, seconds: float, *, but: str = '') -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += 0.1
            for each in self.parts:
                self.handle(each, parts.Ticked(now=self.now, entropy=0))
            self.deliver(but=but)

    def announce(self, at: str, *, to: tuple[str, ...], **fields) -> None:
        announcement = make_announcement(**fields)
        self.handle(
            at,
            presence.Announced(
                now=self.now, announcement=announcement, ticket='t'
            ),
        )
        self.handle(
            at,
            presence.Forward(
                now=self.now, backend_id=announcement.backend_id, to=to
            ),
        )

    def renew(
        self,
        at: str,
        sequence: int,
        *,
        incarnation: int = 1,
        cache_events: presence.CacheEvents | None = None,
    ) -> None:
        self.handle(
            at,
            presence.Renewed(
                now=self.now,
                backend_id='be-1',
                incarnation=incarnation,
                sequence=sequence,
                load=LOAD,
                cache_events=cache_events,
                ticket='t',
            ),
        )

    def leave(self, at: str, sequence: int, *, incarnation: int = 1) -> None:
        self.handle(
            at,
            presence.Left(
                now=self.now,
                backend_id='be-1',
                incarnation=incarnation,
                sequence=sequence,
                ticket='t',
            ),
        )

    def usable(self, at: str) -> list[str]:
        return [
            f'{b.announcement.backend_id}/{b.announcement.incarnation}'
            for b in self.parts[at].usable('dieline-llm', self.now)
        ]


class FaultFreeTest(unittest.TestCase):
    def test_announce_renew_and_leave_reach_the_dispatcher(self):
        lan = Lan('gw-1', 'gw-2', 'gw-3')
        lan.announce('gw-1', to=('gw-2',))
        lan.deliver()
        self.assertEqual(['be-1/1'], lan.usable('gw-2'))
        for sequence in range(2, 12):
            lan.renew('gw-1', sequence)
            lan.pass_time(1)
        backend = lan.parts['gw-2'].backends_by_id['be-1']
        self.assertEqual(make_announcement(), backend.announcement)
        self.assertEqual(LOAD, backend.load)
        self.assertAlmostEqual(lan.now - 1, backend.load_at, places=3)
        self.assertEqual(['be-1/1'], lan.usable('gw-2'))
        lan.leave('gw-1', 12)
        lan.deliver()
        self.assertEqual([], lan.usable('gw-2'))
        self.assertEqual([True, False], [c.present for _, c in lan.changes])
        self.assertEqual({presence.PresenceOutcome.ACCEPTED}, {*lan.outcomes})

    def test_a_new_dispatcher_is_notified_at_once(self):
        lan = Lan('gw-1', 'gw-2', 'gw-3')
        lan.announce('gw-1', to=('gw-2',))
        lan.handle(
            'gw-1',
            presence.Forward(now=lan.now, backend_id='be-1', to=('gw-3',)),
        )
        lan.deliver()
        self.assertEqual(['be-1/1'], lan.usable('gw-3'))


def make_renewal(
    sequence: int,
    *,
    incarnation: int = 1,
    age_s: float = 0.0,
    first: int | None = None,
) -> presence.PresenceBatch:
    """Return a batch with a renewal; with ``first``, also two cache events."""
    event = presence.CacheEvent(
        kind=presence.CacheEventKind.STORED, prefix='p'
    )
    events = None
    if first is not None:
        events = presence.CacheEvents(first=first, events=(event, event))
    renewal = presence.BackendRenewal(
        backend_id='be-1',
        incarnation=incarnation,
        sequence=sequence,
        load=LOAD,
        cache_events=events,
        age_s=age_s,
    )
    return presence.PresenceBatch(renewals=(renewal,), departures=())


def make_departure(
    sequence: int, *, incarnation: int = 1, backend_id: str = 'be-1'
) -> presence.PresenceBatch:
    departure = presence.BackendDeparture(
        backend_id=backend_id, incarnation=incarnation, sequence=sequence
    )
    return presence.PresenceBatch(renewals=(), departures=(departure,))


def present(*, age_s: float = 0.0, **fields: typing.Any) -> presence.Presented:
    announcement = make_announcement(**fields)
    return presence.Presented(announcement=announcement, age_s=age_s)


class MessageOrderTest(unittest.TestCase):
    """Guards against sending work to a server that left or restarted.

    Its messages arrive late, more than once or out of order, so the last one
    to arrive need not be the newest.
    """

    @params(
        (['be-1/1'], present(sequence=1), make_renewal(2)),
        ([], present(sequence=1), make_departure(2)),
        # A renewal that overtakes the leave does not make the leave old.
        ([], present(sequence=1), make_renewal(3), make_departure(2)),
        ([], present(sequence=1), make_departure(2), make_renewal(3)),
        # It announced itself again after its leave.
        (['be-1/1'], present(sequence=3), make_departure(2)),
        # A new process with the same id, and late messages of the old one.
        (
            ['be-1/2'],
            present(sequence=1),
            present(incarnation=2),
            make_renewal(99),
            make_departure(98),
        ),
        # Another process took the address.
        (
            ['be-2/2'],
            present(sequence=1),
            present(backend_id='be-2', incarnation=2),
        ),
        # The other process left, too: the first does not regain the address.
        (
            [],
            present(sequence=1),
            present(backend_id='be-2', incarnation=2),
            make_departure(2, incarnation=2, backend_id='be-2'),
        ),
    )
    def test_any_order_leads_to_the_same_state(self, expected, *messages):
        for order in itertools.permutations(messages):
            for doubled in messages:
                lan = Lan('gw-1')
                for message in (*order, doubled):
                    lan.receive('gw-2', 'gw-1', message)
                self.assertEqual(expected, lan.usable('gw-1'), order)

    def test_a_stale_announcement_does_not_undo_a_leave(self):
        lan = Lan('gw-1')
        lan.receive('gw-2', 'gw-1', make_departure(5))
        lan.pass_time(presence.RETENTION_S / 100)
        lan.receive('gw-2', 'gw-1', present(sequence=4))
        self.assertEqual([], lan.usable('gw-1'))

    def test_a_restart_appears_as_absence_and_presence(self):
        lan = Lan('gw-1')
        lan.receive('gw-2', 'gw-1', present(incarnation=1))
        lan.receive('gw-2', 'gw-1', present(incarnation=2))
        changes = [(c.incarnation, c.present) for _, c in lan.changes]
        self.assertEqual([(1, True), (1, False), (2, True)], changes)


class AbsenceCauseTest(unittest.TestCase):
    """Guards against logs that don't tell a leave from a lost renewal."""

    @params(
        (presence.AbsenceCause.LEFT, make_departure(2)),
        (presence.AbsenceCause.RESTARTED, present(incarnation=2)),
        (
            presence.AbsenceCause.REPLACED,
            present(backend_id='be-2', incarnation=2),
        ),
    )
    def test_the_cause_is_reported(self, cause, message):
        lan = Lan('gw-1')
        lan.receive('gw-2', 'gw-1', present())
        lan.receive('gw-2', 'gw-1', message)
        causes = [c.cause for _, c in lan.changes if not c.present]
        self.assertEqual([cause], causes)

    def test_an_expired_lease_is_reported(self):
        lan = Lan('gw-1')
        lan.receive('gw-2', 'gw-1', present())
        lan.pass_time(presence.LEASE_S + 0.1)
        self.assertEqual(
            presence.AbsenceCause.EXPIRED, lan.changes[-1][1].cause
        )


class LeaseTest(unittest.TestCase):
    """Guards against sending work to a server that crashed or is isolated.

    Renewals end, arrive late or arrive twice. The lease has to be counted
    from the receipt of the renewal by the front.
    """

    @params(
        (['be-1/1'], 2.9, present()),
        ([], 3.0, present()),
        ([], 0.6, present(age_s=2.5)),
        (['be-1/1'], 2.9, present(age_s=2.5), make_renewal(2)),
        ([], 1.6, present(age_s=2.5), make_renewal(2, age_s=1.5)),
        # An older receipt does not shorten it.
        (['be-1/1'], 2.9, present(), make_renewal(2, age_s=1.5)),
    )
    def test_a_lease_runs_from_the_receipt(self, expected, seconds, *messages):
        lan = Lan('gw-1')
        for message in messages:
            lan.receive('gw-2', 'gw-1', message)
        lan.now += seconds
        self.assertEqual(expected, lan.usable('gw-1'))

    def test_a_doubled_renewal_does_not_renew_twice(self):
        lan = Lan('gw-1')
        lan.receive('gw-2', 'gw-1', present())
        lan.receive('gw-2', 'gw-1', make_renewal(2))
        lan.now += 2
        lan.receive('gw-2', 'gw-1', make_renewal(2))
        lan.now += 1
        self.assertEqual([], lan.usable('gw-1'))

    def test_a_renewal_brings_an_expired_one_back(self):
        lan = Lan('gw-1')
        lan.receive('gw-2', 'gw-1', present())
        lan.pass_time(5)
        lan.receive('gw-2', 'gw-1', make_renewal(2))
        self.assertEqual(['be-1/1'], lan.usable('gw-1'))
        changes = [c.present for _, c in lan.changes]
        self.assertEqual([True, False, True], changes)


class IsolatedInstanceTest(unittest.TestCase):
    """Guards against sending work to a backend server that has left.

    The dispatching instance is isolated while the leave is broadcast, so a
    leave has to be sent more than once and over more than one path.
    """

    def start(self) -> Lan:
        lan = Lan('gw-1', 'gw-2', 'gw-3')
        lan.announce('gw-1', to=('gw-2',))
        lan.deliver()
        lan.leave('gw-1', 2)
        lan.deliver(but='gw-2')
        return lan

    def test_the_lease_expires(self):
        lan = self.start()
        self.assertEqual(['be-1/1'], lan.usable('gw-2'))
        lan.pass_time(presence.LEASE_S + 0.1, but='gw-2')
        self.assertEqual([], lan.usable('gw-2'))

    def test_the_leave_is_sent_again(self):
        lan = self.start()
        lan.pass_time(_departures.CONFIRM_S + 0.2)
        self.assertEqual([], lan.usable('gw-2'))

    def test_other_instances_repeat_the_leave_with_renewals(self):
        lan = self.start()
        lan.announce('gw-3', to=('gw-2',), backend_id='be-2', url='http://2')
        lan.wire.clear()
        lan.handle(
            'gw-3',
            presence.Renewed(
                now=lan.now,
                backend_id='be-2',
                incarnation=1,
                sequence=2,
                load=None,
                cache_events=None,
                ticket='t',
            ),
        )
        lan.pass_time(0.3)
        self.assertEqual(['be-2/1'], lan.usable('gw-2'))

    @params((), (make_departure(1),))
    def test_a_lost_announcement_is_requested(self, *earlier):
        """Also if it follows a leave in the same incarnation."""
        lan = Lan('gw-1', 'gw-2')
        for message in earlier:
            lan.receive('gw-1', 'gw-2', message)
        lan.announce('gw-1', to=('gw-2',), sequence=2)
        lan.wire.clear()
        lan.renew('gw-1', 3)
        lan.pass_time(0.5)
        self.assertEqual(['be-1/1'], lan.usable('gw-2'))


class LostDatagramsTest(unittest.TestCase):
    """Guards against leaves that don't arrive although connections work.

    All datagrams are lost, as with a firewall between two instances.
    """

    def test_a_leave_arrives_within_the_drain_time(self):
        lan = Lan('gw-1', 'gw-2', 'gw-3')
        lan.loses_datagrams = True
        lan.announce('gw-1', to=('gw-2', 'gw-3'))
        lan.deliver()
        lan.leave('gw-1', 2)
        lan.pass_time(1.0)
        self.assertEqual([[], []], [lan.usable('gw-2'), lan.usable('gw-3')])

    def test_an_instance_is_told_once_it_can_be_reached(self):
        """Its own renewals may all come from other instances."""
        lan = Lan('gw-1', 'gw-2')
        lan.announce('gw-1', to=('gw-2',))
        lan.deliver()
        lan.leave('gw-1', 2)
        lan.pass_time(_departures.BATCHED_FOR_S + 1.0, but='gw-2')
        lan.parts['gw-2'].handle(
            parts.Received(
                now=lan.now, sender='gw-1', message=present(age_s=0.0)
            )
        )
        lan.pass_time(1.5)
        self.assertTrue(lan.parts['gw-2'].has_left(START))

    def test_no_connection_is_used_while_datagrams_arrive(self):
        lan = Lan('gw-1', 'gw-2', 'gw-3')
        lan.announce('gw-1', to=())
        lan.deliver()
        lan.leave('gw-1', 2)
        lan.pass_time(_departures.BATCHED_FOR_S)
        self.assertEqual([], lan.connections)


class OutcomeTest(unittest.TestCase):
    def test_outcomes_returned_to_a_backend_server(self):
        lan = Lan('gw-1')
        lan.renew('gw-1', 1)
        lan.announce('gw-1', to=(), sequence=2)
        lan.renew('gw-1', 3)
        lan.renew('gw-1', 3)
        lan.renew('gw-1', 2)
        lan.renew('gw-1', 1, incarnation=2)
        lan.leave('gw-1', 4)
        lan.renew('gw-1', 4)
        lan.announce('gw-1', to=(), sequence=4)
        lan.renew('gw-1', 5)
        lan.announce('gw-1', to=(), sequence=6)
        lan.pass_time(2 * presence.LEASE_S)
        lan.renew('gw-1', 7)
        lan.pass_time(_fronts.FRONT_TIMEOUT_S + 0.1)
        lan.renew('gw-1', 8)
        outcome = presence.PresenceOutcome
        expected = [
            outcome.ANNOUNCE_AGAIN,
            outcome.ACCEPTED,
            outcome.ACCEPTED,
            outcome.ACCEPTED,
            outcome.OLD,
            outcome.ANNOUNCE_AGAIN,
            outcome.ACCEPTED,
            outcome.LEFT,
            outcome.LEFT,
            outcome.ANNOUNCE_AGAIN,
            outcome.ACCEPTED,
            outcome.ACCEPTED,
            outcome.ANNOUNCE_AGAIN,
        ]
        self.assertEqual(expected, lan.outcomes)


class NoIncarnationTest(unittest.TestCase):
    """Backend servers without incarnations, with a new id at each start."""

    def setUp(self):
        self.part = presence.Presence(instance_id='gw-1')
        self.now = 0.0

    def receive(self, age_s=0.0, **changes):
        """Receive an announcement; return (id, presence) of each change."""
        announcement = msgspec.structs.replace(
            make_announcement(incarnation=0), **changes
        )
        message = presence.Presented(announcement=announcement, age_s=age_s)
        out = self.part.handle(
            parts.Received(now=self.now, sender='gw-2', message=message)
        )
        return [(each.backend_id, each.present) for each in out]

    def test_a_change_of_role_is_reported(self):
        """Guards against an engine receiving no work after a change of role.

        It takes on the role it was ordered to and announces it. Its cell has
        to be notified of this, and not of presence and absence only.
        """
        self.assertEqual(self.receive(), [('be-1', True)])
        self.assertEqual(self.receive(sequence=2), [])
        prefill = presence.BackendRole.PREFILL
        changed = self.receive(sequence=3, role=prefill)
        self.assertEqual(changed, [('be-1', True)])

    def test_an_address_belongs_to_the_id_first_seen_last(self):
        """Guards against sending requests to a server of another service.

        One server dies and another starts at its address; an announcement of
        the first arrives late. Without incarnations the last message must not
        take precedence.
        """
        self.receive(backend_id='be-2')
        self.assertEqual(
            self.receive(backend_id='be-1'), [('be-2', False), ('be-1', True)]
        )
        self.assertEqual(self.receive(backend_id='be-2', sequence=9), [])

    def test_an_id_that_fell_silent_before_takes_no_address(self):
        """Guards against an instance that uses no server after its start.

        Others tell it of a server that crashed and, before that or after, of
        the one that started at its address since.
        """
        self.assertEqual(self.receive(backend_id='be-2'), [('be-2', True)])
        self.assertEqual(self.receive(backend_id='be-1', age_s=2.0), [])
        self.assertEqual(self.receive(backend_id='be-2', sequence=2), [])
        # One that starts there now takes it, as before.
        self.now += 1.0
        self.assertEqual(
            self.receive(backend_id='be-3'), [('be-2', False), ('be-3', True)]
        )


class RestartTest(unittest.TestCase):
    """A backend server restarts with its id; its sequence restarts at 1."""

    FIRST_START = 1_790_000_000_000
    SECOND_START = FIRST_START + 30_000
    FINAL = 2**62

    def setUp(self):
        self.lan = Lan('gw-1', 'gw-2')

    def announce(self, incarnation, sequence=1):
        self.lan.announce(
            'gw-1', to=('gw-2',), incarnation=incarnation, sequence=sequence
        )
        self.lan.deliver()

    def leave(self, incarnation):
        self.lan.leave('gw-1', self.FINAL, incarnation=incarnation)
        self.lan.deliver()

    def is_usable(self):
        part = self.lan.parts['gw-2']
        return bool(part.usable('dieline-llm', self.lan.now))

    @params(None, FIRST_START)
    def test_a_server_that_left_restarts(self, leaving):
        """Guards against a restarted backend server never receiving work.

        It leaves and restarts with the same id a moment later. The leave is
        final for that start, but must not apply to the id.
        """
        self.announce(self.FIRST_START, sequence=40)
        self.leave(leaving)
        self.assertFalse(self.is_usable())
        self.announce(self.SECOND_START)
        self.assertTrue(self.is_usable())

    def test_late_messages_of_the_previous_start_change_nothing(self):
        """Guards against marking a restarted backend server absent.

        It crashes and restarts; a heartbeat and the leave of the start before
        arrive after its first heartbeat. Their sequence numbers are higher.
        """
        self.announce(self.FIRST_START, sequence=40)
        self.announce(self.SECOND_START)
        self.announce(self.FIRST_START, sequence=41)
        self.leave(self.FIRST_START)
        self.assertTrue(self.is_usable())
        held = self.lan.parts['gw-2'].backends_by_id['be-1']
        self.assertEqual(self.SECOND_START, held.announcement.incarnation)

    def test_an_early_leave_without_incarnation_is_sent_again(self):
        """Guards against an acknowledged leave of a start that goes on.

        It may be a late one of the start before.
        """
        self.announce(self.FIRST_START, sequence=40)
        self.announce(self.SECOND_START)
        self.lan.now += _fronts.LATE_LEAVE_S - 0.5
        self.announce(self.SECOND_START, sequence=4)
        self.lan.outcomes.clear()
        self.leave(None)
        self.assertTrue(self.is_usable())
        self.assertEqual(
            [presence.PresenceOutcome.NOT_KEPT], self.lan.outcomes
        )
        self.lan.now += 1.0
        self.announce(self.SECOND_START, sequence=5)
        self.lan.outcomes.clear()
        self.leave(None)
        self.assertFalse(self.is_usable())
        self.assertEqual(
            [presence.PresenceOutcome.ACCEPTED], self.lan.outcomes
        )

    @params(
        (FIRST_START, presence.PresenceOutcome.NOT_KEPT),
        (0, presence.PresenceOutcome.ACCEPTED),
    )
    def test_a_leave_without_incarnation_of_an_unknown_server(
        self, incarnation, expected
    ):
        """Guards against an acknowledged leave that has no effect.

        The instance has just started and knows another server only.
        """
        self.lan.receive(
            'gw-2',
            'gw-1',
            present(
                backend_id='be-2', incarnation=incarnation, url='http://2'
            ),
        )
        self.lan.outcomes.clear()
        self.leave(None)
        self.assertEqual([expected], self.lan.outcomes)

    def test_a_leave_without_incarnation_where_no_server_is_known(self):
        """Guards against an acknowledged leave that has no effect.

        The instance has just started; the server's last heartbeat went to
        another one.
        """
        self.lan.announce(
            'gw-2', to=('gw-2',), incarnation=self.FIRST_START, sequence=40
        )
        self.lan.deliver()
        self.lan.outcomes.clear()
        self.leave(None)
        is_acknowledged = (
            presence.PresenceOutcome.ACCEPTED in self.lan.outcomes
        )
        self.assertFalse(is_acknowledged and self.is_usable())

    def test_a_later_leave_without_incarnation_is_of_the_newest_start(self):
        self.announce(self.FIRST_START, sequence=40)
        self.announce(self.SECOND_START)
        self.lan.now += _fronts.LATE_LEAVE_S + 0.5
        self.announce(self.SECOND_START, sequence=9)
        self.leave(None)
        self.assertFalse(self.is_usable())

    def test_a_clock_set_back_does_not_exclude_a_server_for_good(self):
        """Guards against a backend server receiving no work for an hour.

        Its clock is set back while it is down, so its new start has a lower
        incarnation. Its messages must not be rejected as stale for good.
        """
        self.announce(self.SECOND_START, sequence=40)
        self.leave(self.SECOND_START)
        self.announce(self.FIRST_START)
        self.assertFalse(self.is_usable())
        self.lan.pass_time(70.0)
        self.announce(self.FIRST_START, sequence=50)
        self.assertTrue(self.is_usable())


class HeartbeatOutageTest(unittest.TestCase):
    """Guards against refusing all requests while all backend servers work.

    All instances that receive heartbeats are down for 14 s; once they are
    back, heartbeats arrive one after the other. Missing renewals during such
    an outage must not end leases.
    """

    LEASE_S = 4.0

    def setUp(self):
        self.now = 0.0
        self.part = presence.Presence(
            instance_id='gw-1',
            lease_s=self.LEASE_S,
            suspends_leases_in_outage=True,
        )
        for name in ('be-1', 'be-2'):
            self.receive(name, sequence=1)

    def receive(self, backend_id, sequence):
        announcement = make_announcement(
            backend_id=backend_id,
            sequence=sequence,
            url=f'http://{backend_id}',
        )
        message = presence.Presented(announcement=announcement, age_s=0.0)
        self.part.handle(
            parts.Received(now=self.now, sender='gw-2', message=message)
        )

    def usable(self, after_s):
        self.now += after_s
        self.part.handle(parts.Ticked(now=self.now, entropy=0))
        return [
            each.announcement.backend_id
            for each in self.part.usable('dieline-llm', self.now)
        ]

    def test_all_stay_present_while_no_message_arrives(self):
        for _ in range(7):
            self.assertEqual(self.usable(2.0), ['be-1', 'be-2'])

    def test_leases_resume_with_the_first_message(self):
        self.usable(14.0)
        self.receive('be-1', sequence=2)
        self.assertEqual(self.usable(1.0), ['be-1', 'be-2'])
        self.receive('be-1', sequence=3)
        self.assertEqual(self.usable(self.LEASE_S), ['be-1'])

    def test_a_single_dead_server_still_becomes_absent(self):
        for sequence in range(2, 6):
            self.now += 1.0
            self.receive('be-1', sequence)
        self.assertEqual(self.usable(0.1), ['be-1'])


class CacheHintTest(unittest.TestCase):
    """Guards against routing requests by a prefix that was evicted long ago.

    The renewal with the eviction was lost. The gap has to be detected by the
    numbers of the cache events.
    """

    @params(
        # first numbers of pairs; (events, after a gap) of each hint
        ((0, 2), [(2, False), (2, False)]),
        ((0, 4), [(2, False), (2, True)]),
        ((0, 1), [(2, False), (1, False)]),
        ((0, 0), [(2, False)]),
        ((7,), [(2, True)]),
    )
    def test_gaps_are_reported(self, firsts, expected):
        lan = Lan('gw-1')
        lan.receive('gw-2', 'gw-1', present())
        for sequence, first in enumerate(firsts, start=2):
            message = make_renewal(sequence, first=first)
            lan.receive('gw-2', 'gw-1', message)
        got = [(len(hint.events), hint.after_gap) for hint in lan.hints]
        self.assertEqual(expected, got)


STAMPS = st.tuples(st.integers(1, 2), st.integers(1, 3))


class AnyOrder(stateful.RuleBasedStateMachine):
    """Messages arrive in any order, late and more than once."""

    def __init__(self) -> None:
        super().__init__()
        self.lan = Lan('gw-1', 'gw-2')
        self.sent: list[typing.Any] = []
        self.received: dict[str, list[typing.Any]] = {'gw-1': [], 'gw-2': []}

    @stateful.rule(at=STAMPS, number=st.integers(1, 2))
    def announce(self, at, number):
        incarnation, sequence = at
        # Messages of one process with the same stamp are equal.
        self.sent.append(
            present(
                backend_id=f'be-{number}',
                incarnation=2 * incarnation + number,
                sequence=sequence,
            )
        )

    @stateful.rule(at=STAMPS, number=st.integers(1, 2))
    def leave(self, at, number):
        incarnation, sequence = at
        self.sent.append(
            make_departure(
                sequence,
                incarnation=2 * incarnation + number,
                backend_id=f'be-{number}',
            )
        )

    @stateful.rule(at=STAMPS)
    def renew(self, at):
        incarnation, sequence = at
        renewal = make_renewal(sequence, incarnation=2 * incarnation + 1)
        self.sent.append(renewal)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data(), to=st.sampled_from(['gw-1', 'gw-2']))
    def deliver(self, data, to):
        self.receive(to, data.draw(st.sampled_from(self.sent)))

    @stateful.invariant()
    def no_server_that_left_receives_work(self):
        for to, received in self.received.items():
            for usable in self.lan.usable(to):
                backend_id = usable.split('/')[0]
                backend = self.lan.parts[to].backends_by_id[backend_id]
                announced = backend.announcement
                stamp = (announced.incarnation, announced.sequence)
                assert stamp > last_leave(received, backend_id), usable

    def teardown(self):
        for message in self.sent:
            self.receive('gw-1', message)
        for message in reversed(self.sent):
            self.receive('gw-2', message)
        self.no_server_that_left_receives_work()
        one, two = self.lan.usable('gw-1'), self.lan.usable('gw-2')
        assert one == two, (one, two)

    def receive(self, to, message):
        self.received[to].append(message)
        self.lan.receive('gw-3', to, message)


def last_leave(received: list[typing.Any], backend_id: str) -> tuple[int, int]:
    departures = [
        departure
        for message in received
        if isinstance(message, presence.PresenceBatch)
        for departure in message.departures
        if departure.backend_id == backend_id
    ]
    stamps = [(each.incarnation, each.sequence) for each in departures]
    return max(stamps, default=(-1, -1))


class AnyOrderTest(unittest.TestCase):
    def test_any_order_converges_and_undoes_no_leave(self):
        stateful.run_state_machine_as_test(
            AnyOrder,
            settings=hypothesis.settings(
                derandomize=True,
                database=None,
                deadline=None,
                max_examples=100,
                stateful_step_count=20,
            ),
        )
