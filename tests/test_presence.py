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
from dandeliongw.coordination import parts
from dandeliongw.coordination import presence
from dandeliongw.protocol import presence_pb2

CODEC = codec.Codec(
    data_classes=presence.MESSAGES, wire_modules=[presence_pb2]
)
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

    def __init__(self, *ids: str) -> None:
        self.now = 100.0
        self.parts = {
            each: presence.Presence(instance_id=each) for each in ids
        }
        self.wire: list[tuple[str, str, typing.Any]] = []
        self.changes: list[tuple[str, presence.BackendChanged]] = []
        self.hints: list[presence.CacheHints] = []
        self.outcomes: list[presence.PresenceOutcome] = []
        for each in ids:
            self.tell(
                each, presence.SetInstances(now=self.now, instance_ids=ids)
            )

    def tell(self, to: str, event: typing.Any) -> None:
        for effect in self.parts[to].handle(event):
            match effect:
                case parts.Send():
                    self.wire.append((to, effect.to, effect.message))
                case parts.Complete():
                    self.outcomes.append(effect.result)
                case presence.BackendChanged():
                    self.changes.append((to, effect))
                case presence.CacheHints():
                    self.hints.append(effect)

    def receive(self, sender: str, to: str, message: typing.Any) -> None:
        decoded = CODEC.decode(*CODEC.encode(message))
        event = parts.Received(now=self.now, sender=sender, message=decoded)
        self.tell(to, event)

    def deliver(self, *, but: str = '') -> None:
        """Deliver all messages in transit, and those sent in response."""
        while self.wire:
            sender, to, message = self.wire.pop(0)
            if to != but:
                self.receive(sender, to, message)

    def pass_time(self, seconds: float, *, but: str = '') -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += 0.1
            for each in self.parts:
                self.tell(each, parts.Ticked(now=self.now, entropy=0))
            self.deliver(but=but)

    def announce(self, at: str, *, to: tuple[str, ...], **fields) -> None:
        announcement = make_announcement(**fields)
        self.tell(
            at,
            presence.Announced(
                now=self.now, announcement=announcement, ticket='t'
            ),
        )
        self.tell(
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
        self.tell(
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
        self.tell(
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

    def test_a_new_dispatcher_is_told_at_once(self):
        lan = Lan('gw-1', 'gw-2', 'gw-3')
        lan.announce('gw-1', to=('gw-2',))
        lan.tell(
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


class CrossedMessagesTest(unittest.TestCase):
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
    def test_any_order_ends_the_same(self, expected, *messages):
        for order in itertools.permutations(messages):
            for doubled in messages:
                lan = Lan('gw-1')
                for message in (*order, doubled):
                    lan.receive('gw-2', 'gw-1', message)
                self.assertEqual(expected, lan.usable('gw-1'), order)

    def test_an_old_announcement_after_a_leave_revives_nobody(self):
        lan = Lan('gw-1')
        lan.receive('gw-2', 'gw-1', make_departure(5))
        lan.pass_time(presence.MEMORY_S / 100)
        lan.receive('gw-2', 'gw-1', present(sequence=4))
        self.assertEqual([], lan.usable('gw-1'))

    def test_a_restart_shows_as_gone_and_there(self):
        lan = Lan('gw-1')
        lan.receive('gw-2', 'gw-1', present(incarnation=1))
        lan.receive('gw-2', 'gw-1', present(incarnation=2))
        changes = [(c.incarnation, c.present) for _, c in lan.changes]
        self.assertEqual([(1, True), (1, False), (2, True)], changes)


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


class CutOffTest(unittest.TestCase):
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

    def test_its_lease_ends(self):
        lan = self.start()
        self.assertEqual(['be-1/1'], lan.usable('gw-2'))
        lan.pass_time(presence.LEASE_S + 0.1, but='gw-2')
        self.assertEqual([], lan.usable('gw-2'))

    def test_the_leave_is_told_again(self):
        lan = self.start()
        lan.pass_time(presence.TELL_AGAIN_S[0] + 0.2)
        self.assertEqual([], lan.usable('gw-2'))

    def test_any_other_instance_tells_it_with_its_renewals(self):
        lan = self.start()
        lan.announce('gw-3', to=('gw-2',), backend_id='be-2', url='http://2')
        lan.wire.clear()
        lan.tell(
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
    def test_an_announcement_that_was_lost_is_asked_for(self, *earlier):
        """Also if it follows a leave in the same incarnation."""
        lan = Lan('gw-1', 'gw-2')
        for message in earlier:
            lan.receive('gw-1', 'gw-2', message)
        lan.announce('gw-1', to=('gw-2',), sequence=2)
        lan.wire.clear()
        lan.renew('gw-1', 3)
        lan.pass_time(0.5)
        self.assertEqual(['be-1/1'], lan.usable('gw-2'))


class OutcomeTest(unittest.TestCase):
    def test_what_a_backend_server_is_told(self):
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
        lan.pass_time(presence.FRONT_MEMORY_S + 0.1)
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


class SameIdTest(unittest.TestCase):
    """Backend servers without incarnations, with a new id at each start."""

    def setUp(self):
        self.part = presence.Presence(instance_id='gw-1')
        self.now = 0.0

    def hear(self, **changes):
        """Receive an announcement; return (id, presence) of each change."""
        said = msgspec.structs.replace(
            make_announcement(incarnation=0), **changes
        )
        message = presence.Presented(announcement=said, age_s=0.0)
        out = self.part.handle(
            parts.Received(now=self.now, sender='gw-2', message=message)
        )
        return [(each.backend_id, each.present) for each in out]

    def test_another_role_under_the_same_id_is_news(self):
        """Guards against an engine receiving no work after a change of role.

        It takes on the role it was ordered to and announces it. Its cell has
        to be notified of this, and not of presence and absence only.
        """
        self.assertEqual(self.hear(), [('be-1', True)])
        self.assertEqual(self.hear(sequence=2), [])
        prefill = presence.BackendRole.PREFILL
        changed = self.hear(sequence=3, role=prefill)
        self.assertEqual(changed, [('be-1', True)])

    def test_an_address_belongs_to_the_id_that_came_last(self):
        """Guards against sending requests to a server of another service.

        One server dies and another starts at its address; an announcement of
        the first arrives late. Without incarnations the last message must not
        take precedence.
        """
        self.hear(backend_id='be-2')
        self.assertEqual(
            self.hear(backend_id='be-1'), [('be-2', False), ('be-1', True)]
        )
        self.assertEqual(self.hear(backend_id='be-2', sequence=9), [])


class SameIdAgainTest(unittest.TestCase):
    """A backend server restarts with its id; its sequence starts at 1 again."""

    FIRST_BORN = 1_790_000_000_000
    THEN_BORN = FIRST_BORN + 30_000
    FINAL = 2**62

    def setUp(self):
        self.lan = Lan('gw-1', 'gw-2')

    def announce(self, born, sequence=1):
        self.lan.announce(
            'gw-1', to=('gw-2',), incarnation=born, sequence=sequence
        )
        self.lan.deliver()

    def leave(self, born):
        self.lan.leave('gw-1', self.FINAL, incarnation=born)
        self.lan.deliver()

    def is_usable(self):
        part = self.lan.parts['gw-2']
        return bool(part.usable('dieline-llm', self.lan.now))

    @params(None, FIRST_BORN)
    def test_one_that_left_comes_back(self, leaver):
        """Guards against a restarted backend server never receiving work.

        It leaves and restarts with the same id a moment later. The leave is
        final for that start, but must not apply to the id.
        """
        self.announce(self.FIRST_BORN, sequence=40)
        self.leave(leaver)
        self.assertFalse(self.is_usable())
        self.announce(self.THEN_BORN)
        self.assertTrue(self.is_usable())

    def test_late_words_of_the_start_before_change_nothing(self):
        """Guards against marking a restarted backend server absent.

        It crashes and restarts; a heartbeat and the leave of the start before
        arrive after its first heartbeat. Their sequence numbers are higher.
        """
        self.announce(self.FIRST_BORN, sequence=40)
        self.announce(self.THEN_BORN)
        self.announce(self.FIRST_BORN, sequence=41)
        self.leave(self.FIRST_BORN)
        self.assertTrue(self.is_usable())
        held = self.lan.parts['gw-2'].backends_by_id['be-1']
        self.assertEqual(self.THEN_BORN, held.announcement.incarnation)

    def test_a_late_leave_that_names_no_start_is_of_the_one_before(self):
        self.announce(self.FIRST_BORN, sequence=40)
        self.announce(self.THEN_BORN)
        self.lan.now += presence.LATE_LEAVE_S - 0.5
        self.announce(self.THEN_BORN, sequence=4)
        self.leave(None)
        self.assertTrue(self.is_usable())

    def test_a_leave_that_names_no_start_is_of_the_newest_later_on(self):
        self.announce(self.FIRST_BORN, sequence=40)
        self.announce(self.THEN_BORN)
        self.lan.now += presence.LATE_LEAVE_S + 0.5
        self.announce(self.THEN_BORN, sequence=9)
        self.leave(None)
        self.assertFalse(self.is_usable())

    def test_a_clock_that_was_put_back_shuts_nobody_out_for_good(self):
        """Guards against a backend server receiving no work for an hour.

        Its clock is set back while it is down, so its new start has a lower
        incarnation. Its messages must not be rejected as stale for good.
        """
        self.announce(self.THEN_BORN, sequence=40)
        self.leave(self.THEN_BORN)
        self.announce(self.FIRST_BORN)
        self.assertFalse(self.is_usable())
        self.lan.pass_time(70.0)
        self.announce(self.FIRST_BORN, sequence=50)
        self.assertTrue(self.is_usable())


class SilenceTest(unittest.TestCase):
    """Guards against refusing all requests while all backend servers work.

    All instances that receive heartbeats are down for 14 s; once they are
    back, heartbeats arrive one after the other. Missing renewals during such
    an outage must not end leases.
    """

    LEASE_S = 4.0

    def setUp(self):
        self.now = 0.0
        self.part = presence.Presence(
            instance_id='gw-1', lease_s=self.LEASE_S, outlasts_silence=True
        )
        for name in ('be-1', 'be-2'):
            self.hear(name, sequence=1)

    def hear(self, backend_id, sequence):
        said = make_announcement(
            backend_id=backend_id,
            sequence=sequence,
            url=f'http://{backend_id}',
        )
        message = presence.Presented(announcement=said, age_s=0.0)
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

    def test_all_stay_while_nothing_is_heard_of_any(self):
        for _ in range(7):
            self.assertEqual(self.usable(2.0), ['be-1', 'be-2'])

    def test_and_go_on_from_there_once_one_is_heard(self):
        self.usable(14.0)
        self.hear('be-1', sequence=2)
        self.assertEqual(self.usable(1.0), ['be-1', 'be-2'])
        self.hear('be-1', sequence=3)
        self.assertEqual(self.usable(self.LEASE_S), ['be-1'])

    def test_one_that_dies_alone_is_gone_as_before(self):
        for sequence in range(2, 6):
            self.now += 1.0
            self.hear('be-1', sequence)
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
    def test_gaps_show(self, firsts, expected):
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
        self.said: list[typing.Any] = []
        self.heard: dict[str, list[typing.Any]] = {'gw-1': [], 'gw-2': []}

    @stateful.rule(at=STAMPS, number=st.integers(1, 2))
    def announce(self, at, number):
        incarnation, sequence = at
        # Messages of one process with the same stamp are equal.
        self.said.append(
            present(
                backend_id=f'be-{number}',
                incarnation=2 * incarnation + number,
                sequence=sequence,
            )
        )

    @stateful.rule(at=STAMPS, number=st.integers(1, 2))
    def leave(self, at, number):
        incarnation, sequence = at
        self.said.append(
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
        self.said.append(renewal)

    @stateful.precondition(lambda self: self.said)
    @stateful.rule(data=st.data(), to=st.sampled_from(['gw-1', 'gw-2']))
    def deliver(self, data, to):
        self.hear(to, data.draw(st.sampled_from(self.said)))

    @stateful.invariant()
    def nobody_who_left_gets_work(self):
        for to, heard in self.heard.items():
            for usable in self.lan.usable(to):
                backend_id = usable.split('/')[0]
                backend = self.lan.parts[to].backends_by_id[backend_id]
                announced = backend.announcement
                stamp = (announced.incarnation, announced.sequence)
                assert stamp > last_leave(heard, backend_id), usable

    def teardown(self):
        for message in self.said:
            self.hear('gw-1', message)
        for message in reversed(self.said):
            self.hear('gw-2', message)
        self.nobody_who_left_gets_work()
        one, two = self.lan.usable('gw-1'), self.lan.usable('gw-2')
        assert one == two, (one, two)

    def hear(self, to, message):
        self.heard[to].append(message)
        self.lan.receive('gw-3', to, message)


def last_leave(heard: list[typing.Any], backend_id: str) -> tuple[int, int]:
    departures = [
        departure
        for message in heard
        if isinstance(message, presence.PresenceBatch)
        for departure in message.departures
        if departure.backend_id == backend_id
    ]
    stamps = [(each.incarnation, each.sequence) for each in departures]
    return max(stamps, default=(-1, -1))


class AnyOrderTest(unittest.TestCase):
    def test_any_order_converges_and_revives_nobody(self):
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
