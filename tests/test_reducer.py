"""The parts of instances together, on a virtual clock."""

import json
import unittest

from nose2.tools import params

from dandeliongw.cell import cells
from dandeliongw.coordination import claim_messages
from dandeliongw.coordination import lease_messages
from dandeliongw.coordination import parts
from dandeliongw.coordination import presence
from dandeliongw.coordination import register
from dandeliongw import effects
from dandeliongw import settings
from tests import limited_servers
from tests import network
from tools import local

CELL = 'studio-portal/local/0'


def book(request_id):
    return cells.Book(
        cell=CELL,
        request_id=request_id,
        attempt_id=f'{request_id}.1',
        account='studio-1',
        priority='urgent',
        prompt_tokens=0,
        max_tokens=0,
        prefix=(),
        deadline_s=5.0,
        stage='plain',
    )


def begin_claim(now, key):
    return claim_messages.Begin(
        now=now,
        ticket=key,
        key=key,
        digest=b'digest',
        attempt_id=f'attempt-{key}',
        deadline_s=5.0,
    )


class OneClaimNetwork(network.Network):
    """Instances whose settings let a holder keep one claim."""

    def _settings(self, instance_id):
        made = super()._settings(instance_id)
        limits = made.limits.model_copy(update={'max_claims': 1})
        return made.model_copy(update={'limits': limits})


class OwnedCellTestCase(unittest.TestCase):
    """Base class: a cell whose owner and entries are no voters."""

    VOTERS = ('gw-1', 'gw-2', 'gw-3')
    #: Large enough for the owner and its deputies to be no voters.
    COUNT = 19

    def setUp(self):
        self.sequence = 1
        self.net = network.PlacingNetwork(count=self.COUNT, voters=3)
        self.net.apply_example()
        self.keep_present(0.1, announce=True)
        self.net.run_until(self.is_owned, 20)
        self.keep_present(1.0)
        self.owner = self.net.owner_of(CELL)
        self.assertNotIn(self.owner, self.VOTERS)
        self.entry = next(
            each
            for each in self.net.reducers_by_id
            if each not in (*self.VOTERS, self.owner)
        )

    def is_owned(self):
        self.keep_present(0.1)
        return self.net.owner_of(CELL) is not None

    def keep_present(self, seconds, announce=False):
        for _ in range(round(seconds / network.TICK_S)):
            self.sequence += 1
            for instance_id in self.net.reducers_by_id:
                if announce:
                    self.net.announce(instance_id, 'portal-1', 'plain')
                else:
                    self.net.post(instance_id, self.renewal())
            self.net.run(network.TICK_S)

    def renewal(self):
        return presence.Renewed(
            now=self.net.now,
            backend_id='portal-1',
            incarnation=1,
            sequence=self.sequence,
            load=None,
            cache_events=None,
            ticket='renew',
        )


class SilentVotersTest(OwnedCellTestCase):
    """Guards against calls refused with "no backend server is ready".

    All voters lose power and the lease of a cell expires, while its owner,
    the entries and the backend servers work. If the owner dropped the cell,
    each entry would place calls into its own share of a backend server, which
    is too small for them.
    """

    def lose_voters(self, seconds=4.0):
        for instance_id in self.VOTERS:
            self.net.crash(instance_id)
        self.keep_present(seconds)
        self.assertIsNone(self.net.owner_of(CELL))

    def started(self, *request_ids):
        """Return how many of these calls through one entry are started."""
        done = self.net.effects_by_id[self.entry]
        before = len(done)
        for request_id in request_ids:
            self.net.post(self.entry, network.lookup(request_id, self.net.now))
        self.keep_present(0.3)
        return sum(isinstance(e, effects.RunCall) for e in done[before:])

    def test_the_last_owner_keeps_dispatching(self):
        self.lose_voters()
        # An entry's own share of the four slots is one.
        self.assertEqual(3, self.started('r-1', 'r-2', 'r-3'))

    def test_it_sends_no_order_without_a_lease(self):
        self.lose_voters()
        owner = self.net.reducers_by_id[self.owner].owner
        self.assertEqual({}, owner.order_dispatch.orders_by_cell)
        self.assertEqual({}, owner.epochs_by_cell())

    def test_it_yields_to_the_next_owner(self):
        """Otherwise both owners would book the same slots."""
        self.lose_voters()
        self.net.cut.add(self.owner)
        for instance_id in self.VOTERS:
            self.net.frozen.discard(instance_id)
        self.net.run_until(self.is_owned, 20)
        successor = self.net.owner_of(CELL)
        self.assertNotEqual(self.owner, successor)
        former = self.net.reducers_by_id[self.owner].owner
        self.assertIn(CELL, former.cells_by_id)
        epoch = self.net.reducers_by_id[successor].owner.epochs_by_cell()[CELL]
        self.net.cut.clear()
        self.net.reducers_by_id[self.owner].handle(
            parts.Received(
                now=self.net.now,
                sender=successor,
                message=cells.ReclaimWanted(cell=CELL, epoch=epoch),
            )
        )
        self.assertNotIn(CELL, former.cells_by_id)

    def test_an_owner_paused_past_its_lease_drops_its_cell(self):
        """Another owner may have booked its slots meanwhile."""
        self.net.frozen.add(self.owner)
        for instance_id in self.VOTERS:
            self.net.crash(instance_id)
        self.net.run(4.0)
        self.net.frozen.discard(self.owner)
        self.net.run(1.0)
        resumed = self.net.reducers_by_id[self.owner].owner
        self.assertNotIn(CELL, resumed.cells_by_id)

    def test_an_owner_that_reaches_some_voters_drops_its_cell(self):
        """A majority it can't reach may grant the lease to another."""
        for instance_id in self.VOTERS[:2]:
            self.net.crash(instance_id)
        self.keep_present(4.0)
        owner = self.net.reducers_by_id[self.owner].owner
        self.assertNotIn(CELL, owner.cells_by_id)


class ReducerTest(unittest.TestCase):
    def setUp(self):
        self.sequence = 1
        self.net = network.Network()
        self.net.apply_example()
        for instance_id in self.net.reducers_by_id:
            self.net.announce(instance_id, 'portal-1', 'plain')
        self.net.run_until(lambda: self.net.owner_of(CELL), 10)
        self.net.run(1.0)
        self.owner = self.net.owner_of(CELL)
        self.others = [
            each for each in self.net.reducers_by_id if each != self.owner
        ]

    def call(self, instance_id, request_id, renew=True):
        """Return the directives that a lookup leads to within a second."""
        done = self.net.effects_by_id[instance_id]
        before = len(done)
        self.net.post(instance_id, network.lookup(request_id, self.net.now))
        self.keep_present(1.0) if renew else self.net.run(1.0)
        return [
            effect
            for effect in done[before:]
            if isinstance(effect, effects.Directive)
            and effect.request_id == request_id
        ]

    def keep_present(self, seconds, backend_id='portal-1'):
        """Let time pass while a backend server renews at every instance."""
        for _ in range(round(seconds / network.TICK_S)):
            self.sequence += 1
            for instance_id in self.net.reducers_by_id:
                self.net.post(instance_id, self.renewal(backend_id))
            self.net.run(network.TICK_S)

    def renewal(self, backend_id):
        return presence.Renewed(
            now=self.net.now,
            backend_id=backend_id,
            incarnation=1,
            sequence=self.sequence,
            load=None,
            cache_events=None,
            ticket='renew',
        )

    def test_a_restarted_backend_server_is_used_at_once(self):
        """Guards against a restarted backend server that gets no work.

        It leaves, restarts at once and counts its messages from 1 again; then
        the leave and a heartbeat of the earlier process arrive late, through
        another instance. Sequence numbers of two processes must not be
        compared with each other.
        """
        self.sequence = 30
        self.keep_present(0.5)
        self.leave('gw-1', incarnation=1)
        self.net.run(0.5)
        refused = self.call('gw-2', 'r-gone', renew=False)
        self.assertFalse(any(isinstance(e, effects.RunCall) for e in refused))
        for instance_id in self.net.reducers_by_id:
            self.net.announce(instance_id, 'portal-1', 'plain', incarnation=2)
        self.net.announce('gw-3', 'portal-1', 'plain', sequence=99)
        self.leave('gw-3', incarnation=1)
        found = self.call('gw-2', 'r-back', renew=False)
        self.assertIsInstance(found[0], effects.RunCall)

    def leave(self, instance_id, incarnation):
        left = presence.Left(
            now=self.net.now,
            backend_id='portal-1',
            incarnation=incarnation,
            sequence=2**62,
            ticket='leave',
        )
        self.net.post(instance_id, left)

    def test_a_call_through_any_instance_is_dispatched(self):
        for instance_id in self.net.reducers_by_id:
            found = self.call(instance_id, f'r-{instance_id}')
            self.assertIsInstance(found[0], effects.RunCall)

    @params('gw-1', 'gw-2', 'gw-3')
    def test_a_change_is_reported_in_force_everywhere(self, instance_id):
        """Guards against a status that stays "in force on 1 of 3".

        An operator changes the document through a voter. The voter has the
        change on its own disk before it is chosen; it must still query the
        other instances about it.
        """
        described = local.example_document()
        described['services'][1]['timeout_s'] = 11
        self.net.apply(instance_id, described, 'change')
        self.net.run(0.5)
        states = self.net.reducers_by_id[instance_id].register.in_force(
            2, self.net.now
        )
        self.assertEqual(
            {'confirmed'}, {str(each) for each in states.values()}
        )

    def test_claims_are_granted_under_the_first_set_of_voters(self):
        """Guards against refusing every booking as "claims unavailable".

        The first set of voters has number 0; claims treat epoch 0 as having
        no holders.
        """
        begin = claim_messages.Begin(
            now=self.net.now,
            ticket='begin',
            key='key',
            digest=b'digest',
            attempt_id='attempt',
            deadline_s=5.0,
        )
        self.net.post('gw-1', begin)
        self.net.run(1.0)
        done = self.net.effects_by_id['gw-1']
        results = [
            each.result
            for each in done
            if isinstance(each, parts.Complete) and each.ticket == 'begin'
        ]
        self.assertEqual([claim_messages.Granted()], results)

    def test_holders_keep_as_many_claims_as_the_settings_say(self):
        """Guards against ignoring the setting ``limits.max_claims``.

        Holders that may keep one key get claims on two.
        """
        net = OneClaimNetwork()
        net.run(2.0)
        for key in ('first', 'second'):
            net.post('gw-1', begin_claim(net.now, key))
            net.run(5.0)
        results = {
            each.ticket: each.result
            for each in net.effects_by_id['gw-1']
            if isinstance(each, parts.Complete)
        }
        self.assertEqual(claim_messages.Granted(), results['first'])
        self.assertEqual(
            claim_messages.UnavailableReason.HOLDERS_FULL,
            results['second'].reason,
        )

    def test_a_cut_off_instance_stops_admitting_within_the_ttl(self):
        """Guards against work admitted on an expired confirmation.

        The instance is cut off from the voters and still has the old
        document, while the others may accept a change.
        """
        cut = self.others[0]
        self.net.cut.add(cut)
        ttl_s = 5.0
        self.net.run(ttl_s)
        found = self.call(cut, 'late')
        self.assertEqual('configuration_stale', found[0].refusal.reason.value)
        self.assertEqual('not_run', found[0].refusal.verdict.value)

    def test_a_paused_owner_books_nothing_when_it_resumes(self):
        """Guards against slots booked twice.

        The owner is paused past its lease and another instance gets it. The
        first one resumes with its cells in memory and a booking in its
        socket; it must compare the lease with the clock before it books.
        """
        self.net.frozen.add(self.owner)
        self.net.run(3.0)
        self.net.frozen.discard(self.owner)
        resumed = self.net.reducers_by_id[self.owner]
        self.assertIn(CELL, resumed.owner.cells_by_id)
        out = resumed.handle(
            parts.Received(
                now=self.net.now, sender=self.others[0], message=book('r')
            )
        )
        sent = [each.message for each in out if isinstance(each, parts.Send)]
        self.assertEqual(
            [cells.NotOwner],
            [type(each) for each in sent if hasattr(each, 'request_id')],
        )

    def test_a_busy_owner_renews_its_lease_before_other_messages(self):
        """Guards against an owner that loses its cell because it is busy."""
        owner = self.net.reducers_by_id[self.net.owner_of(CELL)]
        message = parts.Received(
            now=self.net.now + 0.8, sender=self.others[0], message=book('r')
        )
        first = owner.handle(message)[0]
        self.assertIsInstance(first.message, lease_messages.LeaseClaims)

    def test_a_renewal_asks_an_instance_for_the_owner(self):
        """Guards against a silent owner whose deputies are not told of it."""
        holding = cells.Holding(request_id='r', attempt_id='r.1')
        renewal = cells.Progress(cell=CELL, bookings=(), queued=(holding,))
        asked, entry = self.others
        out = self.net.reducers_by_id[asked].handle(
            parts.Received(now=self.net.now, sender=entry, message=renewal)
        )
        (reply,) = [
            each.message
            for each in out
            if isinstance(getattr(each, 'message', None), cells.NotOwner)
        ]
        self.assertEqual((self.owner, 'r.1'), (reply.holder, reply.attempt_id))

    def test_a_deputy_takes_over_from_an_owner_without_a_lease(self):
        """Guards against a service without an owner though no instance died.

        The owner can't reach the voters to renew its lease, but still answers
        membership probes. The entries send their bookings to the deputy,
        which must then try for the lease, although it is not ranked first.
        """
        self.net.loses = lambda sender, to, message: (
            sender == self.owner
            and isinstance(message, lease_messages.LeaseClaims)
            and to != sender
        )
        entry = self.others[0]
        self.number = 0

        def is_served():
            self.number += 1
            found = self.call(entry, f'n-{self.number}')
            moved = self.net.owner_of(CELL) not in (None, self.owner)
            return moved and isinstance(found[0], effects.RunCall)

        self.net.run_until(is_served, 10)

    def test_a_new_owner_counts_the_bookings_that_entries_hold(self):
        """Guards against overbooked slots after a failover.

        Calls fill all slots, the owner dies, and one more call arrives just
        when the next owner gets the lease. That owner must not start with an
        empty table of bookings.
        """
        entry, other = self.others
        for number in range(4):
            found = self.call(entry, f'held-{number}')
            self.assertIsInstance(found[0], effects.RunCall)
        self.net.crash(self.owner)
        before = len(self.net.effects_by_id[other])
        for number in range(30):
            self.net.post(
                other, network.lookup(f'more-{number}', self.net.now)
            )
            self.keep_present(0.1)
        self.assertIsNotNone(self.net.owner_of(CELL))
        started = [
            effect.request_id
            for effect in self.net.effects_by_id[other][before:]
            if isinstance(effect, effects.RunCall)
        ]
        self.assertEqual([], started)

    def test_a_late_announcement_redirects_nothing(self):
        """Guards against a backend server that renews but gets no work.

        It announces itself; then an older announcement with the same id, for
        another service, arrives late. The rejected announcement must not
        change where renewals are forwarded to.
        """
        forwarding = self.net.reducers_by_id['gw-1'].backend_forwarding
        before = dict(forwarding._announcements_by_id)
        self.net.announce('gw-1', 'portal-1', 'decode', sequence=0)
        self.assertEqual(before, forwarding._announcements_by_id)

    def test_a_service_that_is_added_again_is_owned_again(self):
        """Guards against a service without an owner after it is added again.

        One change removes the service and the next one adds it again before
        the lease of its cell is released. The lease is then still held, so
        there is no event that it was gained.
        """
        described = local.example_document()
        without = {
            **described,
            'services': described['services'][:1],
            'pools': described['pools'][:2],
            'routes': described['routes'][:1],
            'accounts': [
                {**described['accounts'][0], 'services': ['dieline-llm']}
            ],
        }
        owner = self.net.reducers_by_id[self.owner]
        for document in (without, described):
            body = json.dumps(document).encode()
            owner._change_configuration(
                self.net.now,
                register.ConfigurationChanged(revision=9, document=body),
            )
        self.assertIn(CELL, owner.owner.cells_by_id)

    def test_an_order_to_an_unfenced_engine_waits(self):
        """Guards against an engine that executes an earlier owner's order.

        A cell gets a new owner; an order of the owner before it arrives after
        an order of the new one. Since the engine ignores fencing numbers, the
        new owner must wait until its predecessor's orders can no longer take
        effect.
        """
        described = local.example_document()
        described['pools'][1]['model'] = 'dieline-70b'
        self.net.apply('gw-1', described, 'order')
        for instance_id in self.net.reducers_by_id:
            self.net.announce(instance_id, 'decode-1', 'decode')
        self.keep_present(12.0, 'decode-1')
        (holder, order), *more = self.orders()
        self.assertEqual([], more)
        cell = 'dieline-llm/local/0'
        self.assertEqual(self.net.owner_of(cell), holder)
        self.assertEqual('dieline-70b', order.order.value)
        leases = self.net.reducers_by_id[holder].leases
        self.assertIsNotNone(
            leases.epoch_for_unfenced_order(cell, self.net.now, 5.0)
        )

    def orders(self):
        return [
            (instance_id, effect)
            for instance_id, done in self.net.effects_by_id.items()
            for effect in done
            if isinstance(effect, effects.GiveOrder)
        ]

    @params(('leases', 'claims'), ('claims', 'leases'))
    def test_a_new_disk_counts_only_when_all_parts_have_caught_up(
        self, first, second
    ):
        """Guards against a booking that runs twice after two lost disks.

        A disk is replaced while only one of the parts has copied its state.
        If the replacement were finished then, a second lost disk would lose
        the state of the other part.
        """
        replacement = self.net.reducers_by_id['gw-1'].voter_replacement
        for part, expected in ((first, []), (second, [register.CaughtUp])):
            out = replacement.note_caught_up(self.net.now, part, 7, 1)
            self.assertEqual(expected, [type(each.event) for each in out])

    def test_a_lost_disk_is_replaced_automatically(self):
        """Guards against losing the majority at the second lost disk.

        An instance returns with an empty data folder; its new disk must
        become a voter without an operator.
        """
        self.net.crash('gw-3')
        self.net.run(1.0)
        self.net.start('gw-3', disk_id='disk-new')
        register = self.net.reducers_by_id['gw-1'].register
        self.net.run_until(
            lambda: (
                register.voters_by_id['gw-3'] == 'disk-new'
                and not register.joining_by_id
            ),
            30,
        )
        self.net.crash('gw-2')
        self.net.run(6.0)
        for instance_id in ('gw-1', 'gw-3'):
            reducer = self.net.reducers_by_id[instance_id]
            self.assertTrue(reducer.register.is_fresh(self.net.now))
            self.assertEqual(1, reducer.register.revision)

    def test_a_backend_server_that_stops_renewing_gets_no_work(self):
        """Guards against calls to a backend server that has left or died.

        Its leave message is lost and it renews no more; its presence must
        expire.
        """
        self.net.run(4.0)
        found = self.call(self.others[0], 'after', renew=False)
        self.assertIsInstance(found[0], effects.Refuse)
        self.assertEqual('not_run', found[0].refusal.verdict.value)


class CutOffEntryTest(unittest.TestCase):
    """Guards against an entry that is cut off and uses the share of all."""

    def test_it_saves_up_its_own_part_of_the_retries(self):
        servers = limited_servers.LimitedServers(
            net=network.PlacingNetwork(count=7, voters=5),
            backend_ids=('portal-1', 'portal-2'),
            through=('gw-1', 'gw-2'),
        )
        servers.entries = ['gw-7']
        servers.net.cut.add('gw-7')
        servers.run(20.0, calls_per_s=30.0)
        self.assertGreater(servers.answered, 300)
        requests = servers.net.reducers_by_id['gw-7'].requests
        left = requests.retries_left_by_service(servers.net.now)[
            'studio-portal'
        ]
        self.assertLessEqual(left, settings.Retries().saved / 7)


class SurvivingEntryTest(unittest.TestCase):
    """Guards against retries made twice in a window, by the dead and by heirs.

    Entries make their share of the retries and end. One that lives on, and
    had the share of all at once, would make theirs once more.
    """

    ENDED = ('gw-4', 'gw-5', 'gw-6', 'gw-7')

    def left(self):
        requests = self.servers.net.reducers_by_id['gw-1'].requests
        found = requests.retries_left_by_service(self.servers.net.now)
        return found['studio-portal']

    def test_it_has_no_greater_share_within_the_window(self):
        self.servers = limited_servers.LimitedServers(
            net=network.PlacingNetwork(count=7, voters=3),
            backend_ids=('portal-1', 'portal-2'),
            through=('gw-1', 'gw-2'),
        )
        self.servers.entries = ['gw-1']
        usual = settings.Retries()
        self.servers.run(2 * usual.window_s, calls_per_s=10.0)
        for ended in self.ENDED:
            self.servers.net.crash(ended)
        for _ in range(10):
            self.assertLessEqual(self.left(), usual.saved / 7)
            self.servers.run(usual.window_s / 10, calls_per_s=10.0)
        self.servers.run(usual.window_s, calls_per_s=10.0)
        self.assertGreater(self.left(), usual.saved / 7)
        self.assertLessEqual(self.left(), usual.saved / 3)


class DepartedAddressTest(OwnedCellTestCase):
    """Guards against calls written to a server that left while they waited."""

    def said(self, action):
        """Return what the entry's threads are told of the address by it."""
        done = self.net.effects_by_id[self.entry]
        before = len(done)
        action()
        self.net.run(0.5)
        return [
            each.has_departed
            for each in done[before:]
            if isinstance(each, effects.AddressDeparted)
        ]

    def leave(self):
        self.net.post(
            self.entry,
            presence.Left(
                now=self.net.now,
                backend_id='portal-1',
                incarnation=1,
                sequence=2**40,
                ticket='leave',
            ),
        )

    def start_again(self):
        self.net.announce(self.entry, 'portal-1', 'plain', incarnation=2)

    def test_a_leave_and_the_next_start_at_the_address(self):
        self.assertEqual([True], self.said(self.leave))
        self.assertEqual([False], self.said(self.start_again))
