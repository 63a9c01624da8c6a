"""Leases: one holder at a time despite losses, freezes and restarts."""

import contextlib
import io
import pathlib
import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
from nose2.tools import params

from dandeliongw import codec
from dandeliongw.coordination import lease
from dandeliongw.coordination import lease_grantor
from dandeliongw.coordination import lease_messages as messages
from dandeliongw.coordination import lease_quorum
from dandeliongw.coordination import parts
from dandeliongw.protocol import lease_pb2
from tests import lease_network

CELL = lease_network.CELL
LEASE_S = 2.0
MARGIN_S = 0.25
Outcome = messages.LeaseOutcome


class LeaseTest(unittest.TestCase):
    def setUp(self):
        self.network = lease_network.Network()

    def tearDown(self):
        self.assertEqual([], self.network.violations)

    def hold(self, name='a', rival='b'):
        """Let one instance acquire the lease and another one wait for it."""
        self.network.want(name)
        self.network.run(0.3)
        self.assertEqual([name], self.network.holders())
        if rival:
            self.network.want(rival)
            self.network.run(0.6)
        return self.network.epoch(name)

    def acquire(self, name='b', limit=2 * LEASE_S):
        """Run until an instance holds the lease; return the seconds."""
        return self.network.run_until(
            lambda: self.network.holders() == [name], limit
        )

    def test_a_wanted_lease_is_gained_and_renewed(self):
        epoch = self.hold()
        self.network.run(10)
        self.assertEqual(epoch, self.network.epoch('a'))
        gained = self.network.effects('a', lease.LeaseGained)
        self.assertEqual([lease.LeaseGained(name=CELL, epoch=epoch)], gained)
        self.assertEqual('a', self.hint_of('b'))

    def hint_of(self, name):
        return self.network.nodes_by_id[name].part.known_holder(CELL)

    @params('b', None)
    def test_a_released_lease_goes_to_a_waiting_candidate_at_once(
        self, successor
    ):
        """Placement assigns a cell to another instance; the holder releases.

        Without a notification, the other one would notice it at its next
        probe only, and the cell would have no owner for two seconds.
        """
        epoch = self.hold()
        self.network.release('a', successor)
        self.assertLess(self.acquire(), 0.01)
        self.assertGreater(self.network.epoch('b'), epoch)
        self.network.run(5)
        self.assertEqual(['b'], self.network.holders())

    def test_the_successor_of_a_failed_holder_gets_a_higher_epoch(self):
        epoch = self.hold()
        self.network.freeze('a')
        self.assertLess(self.acquire(), LEASE_S + 0.2)
        self.assertGreater(self.network.epoch('b'), epoch)

    def test_a_holder_frozen_past_its_lease_no_longer_holds_it(self):
        """A holder checks its lease by the clock just before each send.

        The holder is stopped (SIGSTOP), another instance takes over, and the
        first one is continued. If it relied on its recorded state, it would
        send before it handles any event, and both would use the same slots.
        """
        self.hold()
        self.network.freeze('a')
        self.acquire()
        self.assertIsNone(self.network.epoch('a'))
        self.network.wake('a')
        self.assertEqual(['b'], self.network.holders())
        self.network.run(0.1)
        self.assertEqual(1, len(self.network.effects('a', lease.LeaseLost)))

    def test_a_late_answer_counts_from_the_send_of_its_claim(self):
        """The answers to a claim take nearly the whole lease to arrive.

        The grantors count from the receipt of the claim. A holder that
        counted from the receipt of the answers would hold the lease too
        long, and there could be two holders.
        """
        self.network.delay_s = lambda *sent: 0.9
        self.network.nodes_by_id['a'].part._holder.renew_s = 10.0
        self.network.want('a')
        self.network.run(4 * 0.9 + lease_network.TICK_S * 2)
        # Requested 1.8 s ago; the lease is valid for 1.75 s from then.
        self.assertEqual([], self.network.holders())

    def test_the_margin_covers_clock_drift(self):
        """The margin covers the difference of two clock rates over a lease.

        The holder's clock is slow, the grantors' clocks are fast, and the
        holder is cut off. Without the margin, there would be two holders for
        some milliseconds.
        """
        self.hold()
        for name, node in self.network.nodes_by_id.items():
            node.rate = 0.95 if name == 'a' else 1.05
        self.network.run(1)
        self.network.cut('a')
        self.acquire()

    @params(('v1', 'v2'), ('v1', 'v2', 'v3'))
    def test_restarted_grantors_wait_until_their_grants_have_run_out(
        self, *names
    ):
        """Grantors restart while the holder is cut off and a rival waits.

        The times of grants are kept in memory only. A restarted grantor that
        treated them as expired would allow two holders. Its clock starts at
        another value, too.
        """
        self.hold()
        self.network.cut('a')
        for name in names:
            self.network.start(name)
        self.assertGreater(self.acquire(), LEASE_S)

    def test_a_lease_survives_a_rolling_restart_of_the_grantors(self):
        """The grantors restart one after the other.

        If a restarted grantor refused the renewals of a holder in its
        journal, cells would lose their owners at every upgrade.
        """
        epoch = self.hold()
        for name in ('v1', 'v2', 'v3'):
            self.network.start(name)
            self.network.run(0.6)
        self.assertEqual(epoch, self.network.epoch('a'))

    def test_a_second_disk_is_lost_right_after_the_first_came_back(self):
        """Two grantors lose their disks one after the other.

        Each catches up; then the holder fails. If a grantor granted leases
        before it had read the others' epochs, an epoch could be granted
        twice, and engines would accept orders of both holders.
        """
        epoch = self.hold()
        for name in ('v1', 'v2'):
            self.network.start(name, loses_disk=True)
            self.network.run_until(
                lambda: self.network.effects(name, lease.GrantorCaughtUp), 6
            )
        self.network.freeze('a')
        self.acquire()
        self.assertGreater(self.network.epoch('b'), epoch)

    def test_two_lost_disks_at_once_grant_nothing(self):
        """Two of three grantors lose their disks at the same time.

        If they caught up from each other's empty records, an epoch could be
        granted twice.
        """
        self.hold()
        self.network.start('v1', loses_disk=True)
        self.network.start('v2', loses_disk=True)
        self.network.run(20)
        self.assertEqual([], self.network.holders())

    def test_a_split_request_is_released_at_once_and_repeated(self):
        """Two candidates get one grantor each; the third grantor is down.

        If they did not release these grants, or both retried at the same
        time, there would be no owner for a whole lease.
        """
        self.network.freeze('v3')

        def delay_s(sender, to, message):
            if not isinstance(message, messages.LeaseClaims):
                return lease_network.HOP_S
            is_request = message.claims[0].epoch > 0
            is_crossing = (sender, to) in (('a', 'v2'), ('b', 'v1'))
            return 0.006 * is_request + 0.006 * (is_request and is_crossing)

        self.network.delay_s = delay_s
        self.network.want('a')
        self.network.want('b')
        waited = self.network.run_until(self.network.holders, 2)
        splits = [
            effect
            for _, effect in self.network.sent
            if isinstance(effect.message, messages.LeaseRelease)
        ]
        self.assertTrue(splits)
        self.assertLess(waited, LEASE_S / 5)

    def test_a_candidate_cut_off_from_some_does_not_unseat_the_holder(self):
        """A rival and the holder each can't reach one grantor.

        If the rival's requests raised the epoch where the holder's grant has
        expired, renewals would be refused there, and a healthy holder would
        lose its lease repeatedly.
        """
        epoch = self.hold()
        self.network.loses = lambda sender, to, message: (
            {sender, to} in ({'a', 'v1'}, {'b', 'v2'})
        )
        self.network.run(20)
        self.assertEqual(epoch, self.network.epoch('a'))

    def test_a_second_start_of_one_instance_is_another_holder(self):
        """A holder restarts and requests the lease again.

        If the grantors took the request for a renewal, two starts of an
        instance could send orders under one epoch.
        """
        epoch = self.hold(rival=None)
        self.network.start('a')
        self.network.want('a')
        self.assertGreater(self.acquire('a'), LEASE_S / 2)
        self.assertGreater(self.network.epoch('a'), epoch)

    def test_an_engine_that_ignores_epochs_gets_orders_after_the_wait(self):
        """A successor waits until a predecessor's last order is over.

        The holder writes an order to a socket and freezes. If the successor
        sent its order before the old one has arrived, the old one could undo
        the new one.
        """
        epoch = self.hold()
        self.network.freeze('a')
        self.acquire()
        part = self.network.nodes_by_id['b'].part
        begun = self.network.clock('b')
        wait_s = LEASE_S + MARGIN_S + 5.0
        self.assertIsNone(
            part.epoch_for_unfenced_order(CELL, begun + 0.1, 5.0)
        )
        self.network.run(wait_s)
        now = self.network.clock('b')
        self.assertGreater(
            part.epoch_for_unfenced_order(CELL, now, 5.0), epoch
        )
        self.assertIsNone(part.epoch_for_unfenced_order(CELL, now, 6.0))

    def test_the_grantors_are_replaced_under_a_held_lease(self):
        """v3 is replaced by v4; an older update of the set arrives late.

        The old and the new voters could grant the lease to two holders if a
        change needed no majority of both sets, or if grantors still accepted
        claims under the old set.
        """
        network = self.network = lease_network.Network(
            grantors=('v1', 'v2', 'v3'), others=('a', 'b', 'v4')
        )
        network.nodes_by_id['v4'].is_grantor = True
        network.start('v4')
        epoch = self.hold()
        new = ('v1', 'v2', 'v4')
        network.change_grantors(
            grantors=('v1', 'v2', 'v3'), joining=new, version=1
        )
        for name in new:
            network.run_until(
                lambda: network.effects(name, lease.GrantorCaughtUp), 6
            )
        network.change_grantors(grantors=new, joining=(), version=2)
        network.change_grantors(grantors=('v3',), joining=(), version=1)
        network.freeze('v1')
        network.freeze('v3')
        network.run(5)
        self.assertEqual(epoch, network.epoch('a'))
        network.freeze('a')
        self.acquire()


def claim(epoch, *, life=1, version=0, duration_s=LEASE_S):
    return messages.LeaseClaims(
        version=version,
        life=life,
        asked_at=0.0,
        duration_s=duration_s,
        claims=(messages.LeaseClaim(name=CELL, epoch=epoch),),
    )


def record(epoch, holder, *, life=1, duration_s=LEASE_S):
    return messages.LeaseGranted(
        name=CELL,
        epoch=epoch,
        holder=holder,
        life=life,
        duration_s=duration_s,
    )


def make_grantor(*records):
    """Return a grantor that is restored from records at time 0."""
    part = lease_grantor.Grantor(
        instance_id='v1', duration_s=LEASE_S, margin_s=MARGIN_S
    )
    for each in (*records, messages.LeaseReady(version=0)):
        part.restore(each)
    part.start(0.0)
    return part


def sends(effects):
    return [effect for effect in effects if isinstance(effect, parts.Send)]


class GrantorTest(unittest.TestCase):
    def outcome(self, part, now, sender, claims):
        effects = part.on_claims(now, sender, claims)
        for effect in effects:
            if isinstance(effect, parts.Persist):
                effects = effects + part.on_persisted(effect.token)
        (answer,) = sends(effects)[0].message.answers
        return answer.outcome

    @params(
        (3.0, 'a', claim(5, duration_s=1.5), Outcome.GRANTED),
        (3.0, 'b', claim(0), Outcome.GRANTED),
        (3.0, 'b', claim(6), Outcome.GRANTED),
        (3.0, 'b', claim(5), Outcome.OLD_EPOCH),
        (3.0, 'a', claim(5, life=2), Outcome.OLD_EPOCH),
        (3.0, 'a', claim(4), Outcome.OLD_EPOCH),
        (3.0, 'b', claim(6, duration_s=9.0), Outcome.TOO_LONG),
        (3.0, 'a', claim(5, duration_s=1.9), Outcome.TOO_LONG),
        (1.0, 'b', claim(6), Outcome.WAITING_OUT),
        (1.0, 'b', claim(0), Outcome.WAITING_OUT),
        (1.0, 'a', claim(5, duration_s=1.5), Outcome.GRANTED),
    )
    def test_a_restarted_grantor_decides(self, now, sender, claims, expected):
        part = make_grantor(record(5, 'a', duration_s=1.5))
        self.assertEqual(expected, self.outcome(part, now, sender, claims))

    def test_an_answer_waits_until_the_epoch_is_synced(self):
        """A grantor that answers before the sync could crash in between.

        It could then grant the same epoch to another holder. A repeated
        request must not be answered early either.
        """
        part = make_grantor()
        persist, *early = part.on_claims(0.0, 'a', claim(1))
        early += part.on_claims(0.1, 'a', claim(1))
        self.assertEqual([], early)
        self.assertEqual((record(1, 'a'),), persist.records)
        self.assertEqual(2, len(sends(part.on_persisted(persist.token))))

    def test_a_renewal_that_crosses_the_release_does_not_revive_it(self):
        """The release of a lease overtakes its last renewal.

        If the grantor renewed the released grant, a handover would take a
        whole lease instead of milliseconds.
        """
        part = make_grantor()
        self.outcome(part, 0.0, 'a', claim(1))
        released = messages.LeaseRelease(life=1, name=CELL, epoch=1)
        part.on_release(0.1, 'a', released)
        late = self.outcome(part, 0.1, 'a', claim(1))
        self.assertEqual(Outcome.RELEASED, late)
        again = self.outcome(part, 0.1, 'a', claim(2))
        self.assertEqual(Outcome.GRANTED, again)
        part.on_release(0.1, 'a', released)
        self.assertEqual(Outcome.HELD, self.outcome(part, 0.2, 'b', claim(3)))

    def test_a_shorter_setting_does_not_shorten_the_wait(self):
        """A lease of 8 s is granted; the grantor restarts with 2 s.

        If it waited for the new duration instead of the one granted, there
        could be two holders.
        """
        part = make_grantor(record(5, 'a', duration_s=8.0))
        waiting = self.outcome(part, 8.2, 'b', claim(6))
        self.assertEqual(Outcome.WAITING_OUT, waiting)
        self.assertEqual(
            Outcome.GRANTED, self.outcome(part, 8.25, 'b', claim(6))
        )

    def test_a_read_of_epochs_fences_claims_under_older_grantors(self):
        """A grantor whose epochs were read refuses claims of older sets.

        It must still do so after a restart, so the fence is synced first.
        Otherwise the old and the new voters could grant the same epoch.
        """
        part = make_grantor()
        wanted = messages.LeaseEpochsWanted(version=3, reading=9)
        persist, *early = part.on_epochs_wanted('v4', wanted)
        self.assertEqual([], early)
        restarted = make_grantor(*persist.records)
        for each in (part, restarted):
            old = self.outcome(each, 0.0, 'a', claim(1, version=2))
            self.assertEqual(Outcome.OLD_VERSION, old)

    def test_a_fence_is_synced_that_a_claim_has_raised_before(self):
        """Guards against a fence that a restart forgets."""
        part = make_grantor()
        self.outcome(part, 0.0, 'a', claim(1, version=3))
        wanted = messages.LeaseEpochsWanted(version=3, reading=9)
        persist, *early = part.on_epochs_wanted('v4', wanted)
        self.assertEqual([], early)
        self.assertEqual(messages.LeaseReady(version=3), persist.records[0])

    def test_a_read_epoch_never_ends_a_grant_that_stands(self):
        """A grantor has granted epoch 4 and reads that another granted 5.

        If its own grant ended by that, there could be two holders during a
        change of grantors.
        """
        part = make_grantor()
        self.outcome(part, 0.0, 'a', claim(4))
        part.learn(record(5, 'b'))
        self.assertEqual(Outcome.HELD, self.outcome(part, 1.0, 'c', claim(6)))
        self.assertEqual(
            Outcome.OLD_EPOCH, self.outcome(part, 3.0, 'c', claim(5))
        )


class HolderTest(unittest.TestCase):
    def setUp(self):
        self.part = lease.Leases(instance_id='a', is_grantor=False)
        self.part.handle(
            lease.GrantorsChanged(now=0.0, grantors=('v1', 'v2', 'v3'))
        )
        self.part.handle(lease.Wanted(now=0.0, names=frozenset({CELL})))
        self.part.handle(parts.Ticked(now=0.0, entropy=1))

    def receive(self, sender, message):
        received = parts.Received(now=0.1, sender=sender, message=message)
        return self.part.handle(received)

    def answer(
        self, sender, epoch, *, life=1, asked_at=0.1, outcome=Outcome.GRANTED
    ):
        granted = messages.LeaseAnswer(name=CELL, epoch=epoch, outcome=outcome)
        message = messages.LeaseAnswers(
            version=0, life=life, asked_at=asked_at, answers=(granted,)
        )
        return self.receive(sender, message)

    @params(
        ('v2', 1, {}, True),
        ('v1', 1, {}, False),
        ('b', 1, {}, False),
        ('v2', 9, {}, False),
        ('v2', 0, {}, False),
        ('v2', 1, {'life': 2, 'asked_at': 99.0}, False),
    )
    def test_only_answers_to_the_own_request_count(
        self, sender, epoch, more, is_held
    ):
        """Duplicate answers and answers to other requests don't count.

        They come from another instance, or are for another epoch, a probe or
        an earlier start with another clock. If they counted, a lease would
        be held without a majority or for too long.
        """
        self.answer('v1', 0, asked_at=0.0)
        self.answer('v2', 0, asked_at=0.0)
        self.answer('v1', 1)
        self.answer(sender, epoch, **more)
        held = self.part.epoch_if_held(CELL, 0.1)
        self.assertEqual(1 if is_held else None, held)

    @params((0.1, True), (1.5, False))
    def test_a_lease_that_expires_while_no_grantor_answers(
        self, refused_at, is_unheard
    ):
        """Guards against an owner that drops its cell without its voters.

        A voter that joined late had refused a renewal long before all of them
        were lost.
        """
        self.answer('v1', 0, asked_at=0.0)
        self.answer('v2', 0, asked_at=0.0)
        self.answer('v1', 1)
        self.answer('v2', 1)
        self.answer(
            'v3', 1, asked_at=refused_at, outcome=Outcome.NOT_CAUGHT_UP
        )
        out = self.part.handle(parts.Ticked(now=2.0, entropy=1))
        (lost,) = [each for each in out if isinstance(each, lease.LeaseLost)]
        self.assertEqual(lost.is_unheard, is_unheard)

    def hold(self):
        self.answer('v1', 0, asked_at=0.0)
        self.answer('v2', 0, asked_at=0.0)
        self.answer('v1', 1)
        self.answer('v2', 1)

    def renewed(self, now, sender, *, asked_at):
        granted = messages.LeaseAnswer(
            name=CELL, epoch=1, outcome=Outcome.GRANTED
        )
        message = messages.LeaseAnswers(
            version=0, life=1, asked_at=asked_at, answers=(granted,)
        )
        return self.part.handle(
            parts.Received(now=now, sender=sender, message=message)
        )

    def lost(self, effects):
        return [each for each in effects if isinstance(each, lease.LeaseLost)]

    def test_a_busy_holder_keeps_its_lease(self):
        """Guards against an owner that loses its cell because it is busy.

        It handles other events for 2 s, so its tick and the answers to its
        renewals wait.
        """
        self.hold()
        asked_at = []
        for number in range(2, 21):
            now = number / 10
            if self.part.is_renewal_overdue(now):
                out = self.part.handle(lease.RenewalOverdue(now=now))
                self.assertEqual(3, len(sends(out)))
                asked_at.append(now)
        # No more often than with ticks.
        self.assertEqual([0.7, 1.4], asked_at)
        out = self.part.handle(parts.Ticked(now=2.1, entropy=1))
        self.assertEqual([], self.lost(out))
        # It isn't used before the answers are counted.
        self.assertIsNone(self.part.epoch_if_held(CELL, 2.1))
        for sender in ('v1', 'v2'):
            out = self.renewed(2.11, sender, asked_at=1.4)
            self.assertEqual([], self.lost(out))
        self.assertEqual(1, self.part.epoch_if_held(CELL, 2.11))

    def test_a_late_holder_without_answers_loses_its_lease(self):
        """An owner without a lease must not stay one for longer."""
        self.hold()
        self.part.handle(lease.RenewalOverdue(now=1.2))
        out = self.part.handle(parts.Ticked(now=1.9, entropy=1))
        self.assertEqual([], self.lost(out))
        out = []
        for number in range(1, 5):
            now = 1.9 + number / 10
            out += self.part.handle(parts.Ticked(now=now, entropy=1))
        (lost,) = self.lost(out)
        # The end was noticed late: another instance may have it.
        self.assertFalse(lost.is_unheard)

    def test_a_holder_that_was_stopped_loses_its_lease_at_once(self):
        """No renewal that it sent before can still be valid."""
        self.hold()
        out = self.part.handle(lease.RenewalOverdue(now=4.0))
        self.assertEqual(1, len(self.lost(out)))

    def test_an_answer_to_an_earlier_probe_does_not_count(self):
        self.answer('v1', 0, asked_at=0.0)
        self.assertEqual([], self.answer('v2', 0, asked_at=-5.0))

    def test_one_report_of_a_release_does_not_start_a_request(self):
        vacant = messages.LeaseVacant(name=CELL, epoch=4)
        self.assertEqual([], self.receive('v1', vacant))
        self.assertEqual([], self.receive('v1', vacant))
        claims = [send.message.claims for send in self.receive('v2', vacant)]
        self.assertEqual(
            [(messages.LeaseClaim(name=CELL, epoch=5),)] * 3, claims
        )


class DocumentedExampleTest(unittest.TestCase):
    def test_the_example_prints_what_the_page_says(self):
        page = pathlib.Path('docs/LEASES.md').read_text()
        example = page.split('```python\n')[1].split('```')[0]
        printed = page.split('```text\n')[1].split('```')[0]
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            exec(example, {})
        self.assertEqual(printed, out.getvalue())


class QuorumTest(unittest.TestCase):
    @params(
        ('abc', '', 'ab', True),
        ('abc', '', 'a', False),
        ('abcd', '', 'ab', False),
        ('', '', '', False),
        ('abc', 'def', 'ab', False),
        ('abc', 'def', 'de', False),
        ('abc', 'abd', 'ab', True),
        ('abc', 'def', 'abde', True),
    )
    def test_a_change_needs_a_majority_of_both_sets(
        self, grantors, joining, agreeing, is_enough
    ):
        both = lease_quorum.Quorum(
            grantors=tuple(grantors), joining=tuple(joining)
        )
        value = both.majority_value(dict.fromkeys(agreeing, 1.0))
        self.assertEqual(is_enough, value == 1.0)


class CatchUpTest(unittest.TestCase):
    @params(
        (record(2, 'a'), record(2, 'a'), Outcome.GRANTED),
        (record(2, 'b'), record(2, 'a'), Outcome.OLD_EPOCH),
        (record(1, 'b'), record(2, 'a'), Outcome.OLD_EPOCH),
    )
    def test_a_renewal_counts_only_if_a_majority_reports_its_grant(
        self, first, second, expected
    ):
        """A grant that a grantor only read must not be renewed there.

        v1 and v2 grant epoch 2 to b, v1 loses its disk, v3 grants epoch 2 to
        a, and v1 reads both. If v1 accepted a's renewal, epoch 2 would have
        two holders. A grant that a majority reports may be renewed.
        """
        part = lease.Leases(instance_id='v1', is_grantor=True)
        grantors = ('v1', 'v2', 'v3')
        part.handle(lease.GrantorsChanged(now=0.0, grantors=grantors))
        self.assertEqual([], part.handle(parts.Ticked(now=2.2, entropy=7)))
        wanted = part.handle(parts.Ticked(now=3.0, entropy=7))
        self.assertEqual([*grantors], [send.to for send in sends(wanted)])
        self.receive(part, 'b', record(99, 'b'))
        self.receive(part, 'v2', first)
        self.receive(part, 'v3', record(99, 'b'), reading=6)
        (persist,) = self.receive(part, 'v3', second)
        self.assertEqual(messages.LeaseReady(version=0), persist.records[-1])
        persisted = parts.Persisted(now=3.0, token=persist.token)
        self.assertEqual(
            [lease.GrantorCaughtUp(version=0)], part.handle(persisted)
        )
        self.assertEqual(expected, self.outcome(part, 9.0, 'a', claim(2)))
        self.assertEqual(persist.records, tuple(part.snapshot()))

    def test_a_grantor_that_has_read_waits_before_it_grants(self):
        """Guards against a second holder beside one of the replaced set."""
        part, _ = self.caught_up()
        early = self.outcome(part, 5.2, 'b', claim(9, version=1))
        self.assertEqual(Outcome.WAITING_OUT, early)
        part.handle(
            lease.GrantorsChanged(
                now=5.2, grantors=('v1', 'v2', 'v4'), version=2
            )
        )
        still = claim(9, version=2)
        self.assertEqual(
            Outcome.WAITING_OUT, self.outcome(part, 5.2, 'b', still)
        )
        self.assertEqual(Outcome.GRANTED, self.outcome(part, 5.25, 'b', still))

    def test_a_restart_after_the_read_waits_anew(self):
        """Guards against a wait that ends with the process."""
        _, records = self.caught_up()
        part = lease.Leases(instance_id='v4', is_grantor=True)
        for each in records:
            part.restore(each)
        part.handle(parts.Ticked(now=20.0, entropy=7))
        early = self.outcome(part, 22.2, 'b', claim(9, version=1))
        self.assertEqual(Outcome.WAITING_OUT, early)

    def test_a_grantor_that_stays_grants_during_a_change(self):
        """Guards against a change that stops all other grantors."""
        part = lease.Leases(instance_id='v1', is_grantor=True)
        part.restore(messages.LeaseReady(version=0))
        self.join(part, version=1)
        self.receive(part, 'v2', record(4, 'a'))
        self.receive(part, 'v3', record(4, 'a'))
        self.assertEqual(
            Outcome.GRANTED,
            self.outcome(part, 3.1, 'b', claim(9, version=1)),
        )

    def test_a_grantor_that_joins_again_renews_no_grant_of_before(self):
        """Guards against an epoch of two holders after a withdrawn change.

        v4 granted epoch 5 to b while it joined; it missed that a majority
        granted 5 to a meanwhile.
        """
        part = lease.Leases(instance_id='v4', is_grantor=True)
        part.restore(record(5, 'b'))
        part.restore(messages.LeaseReady(version=1))
        self.join(part, version=3)
        early = self.outcome(part, 2.9, 'b', claim(5, version=3))
        self.assertEqual(Outcome.NOT_CAUGHT_UP, early)
        self.receive(part, 'v2', record(5, 'a'))
        (persist,) = self.receive(part, 'v3', record(5, 'a'))
        part.handle(parts.Persisted(now=3.0, token=persist.token))
        late = self.outcome(part, 9.0, 'b', claim(5, version=3))
        self.assertEqual(Outcome.OLD_EPOCH, late)

    def test_a_grantor_that_joins_again_reads_once_its_grants_have_ended(self):
        """Guards against an epoch that is counted after it was read past."""
        part = lease.Leases(instance_id='v4', is_grantor=True)
        part.restore(messages.LeaseReady(version=1))
        part.handle(parts.Ticked(now=-9.0, entropy=7))
        self.assertEqual(
            Outcome.GRANTED, self.outcome(part, 1.0, 'b', claim(5, version=1))
        )
        part.handle(
            lease.GrantorsChanged(
                now=1.5,
                grantors=('v1', 'v2', 'v3'),
                joining=('v1', 'v2', 'v4'),
                version=3,
            )
        )
        self.assertEqual([], part.handle(parts.Ticked(now=3.2, entropy=7)))
        wanted = part.handle(parts.Ticked(now=3.25, entropy=7))
        self.assertEqual(['v1', 'v2', 'v3'], [each.to for each in wanted])
        self.receive(part, 'v2', record(4, 'a'))
        (persist,) = self.receive(part, 'v3', record(4, 'a'))
        part.handle(parts.Persisted(now=3.3, token=persist.token))
        late = self.outcome(part, 3.3, 'b', claim(5, version=3))
        self.assertEqual(Outcome.OLD_EPOCH, late)

    def join(self, part, version):
        part.handle(
            lease.GrantorsChanged(
                now=0.0,
                grantors=('v1', 'v2', 'v3'),
                joining=('v1', 'v2', 'v4'),
                version=version,
            )
        )
        part.handle(parts.Ticked(now=2.2, entropy=7))
        part.handle(parts.Ticked(now=3.0, entropy=7))

    def caught_up(self):
        """Return a grantor that has just caught up, and its records."""
        part = lease.Leases(instance_id='v4', is_grantor=True)
        self.join(part, version=1)
        self.receive(part, 'v2', record(4, 'a'))
        (persist,) = self.receive(part, 'v3', record(4, 'a'))
        part.handle(parts.Persisted(now=3.0, token=persist.token))
        return part, persist.records

    def receive(self, part, sender, granted, reading=7):
        epochs = messages.LeaseEpochs(
            reading=reading, ready=True, records=(granted,)
        )
        received = parts.Received(now=3.0, sender=sender, message=epochs)
        return part.handle(received)

    def outcome(self, part, now, sender, claims):
        received = parts.Received(now=now, sender=sender, message=claims)
        out = part.handle(received)
        (answers,) = [
            each.message for each in out if isinstance(each, parts.Send)
        ] or [self.sent_after_sync(part, now, out)]
        return answers.answers[0].outcome

    def sent_after_sync(self, part, now, effects):
        (persist,) = effects
        persisted = parts.Persisted(now=now, token=persist.token)
        return part.handle(persisted)[0].message


class WireTest(unittest.TestCase):
    def test_every_message_and_record_survives_the_wire(self):
        answer = messages.LeaseAnswer(
            name=CELL,
            epoch=2**60,
            outcome=Outcome.HELD,
            highest=3,
            holder='a',
            remaining_s=0.5,
        )
        wire = codec.Codec(
            data_classes=messages.MESSAGES + messages.RECORDS,
            wire_modules=[lease_pb2],
        )
        for message in (
            claim(2**60, life=2**64 - 1),
            messages.LeaseAnswers(
                version=1, life=2, asked_at=0.1, answers=(answer,)
            ),
            messages.LeaseRelease(life=1, name=CELL, epoch=2, successor='b'),
            messages.LeaseVacant(name=CELL, epoch=2),
            messages.LeaseEpochsWanted(version=1, reading=2**63),
            messages.LeaseEpochs(
                reading=1, ready=True, records=(record(1, 'a'),)
            ),
            messages.LeaseReady(version=4),
        ):
            self.assertEqual(message, wire.decode(*wire.encode(message)))


RIVALS = ('a', 'b', 'v1')


class LossyLeases(stateful.RuleBasedStateMachine):
    """The real parts under losses, delays, freezes and restarts."""

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def begin(self, seed):
        self.network = lease_network.Network(seed=seed)
        for name, node in self.network.nodes_by_id.items():
            node.rate = 0.95 if name in ('a', 'b') else 1.05
        self.want()

    def want(self):
        for name in RIVALS:
            self.network.want(name)

    @stateful.rule(
        seconds=strategies.sampled_from([0.05, 0.5, 2.5]),
        loss=strategies.sampled_from([0.0, 0.3]),
        longest_delay_s=strategies.sampled_from([0.001, 0.5, 3.0]),
        cuts_holder=strategies.booleans(),
    )
    def run(self, seconds, loss, longest_delay_s, cuts_holder):
        chance = self.network.random.random
        isolated = self.network.holders() if cuts_holder else []
        self.network.loses = lambda sender, to, message: (
            chance() < loss or sender in isolated or to in isolated
        )
        self.network.delay_s = lambda *sent: chance() ** 4 * longest_delay_s
        self.network.run(seconds)

    @stateful.rule(successor=strategies.sampled_from(RIVALS))
    def release(self, successor):
        for name in self.network.holders():
            self.network.release(name, successor)
        self.want()

    @stateful.rule()
    def freeze_holder(self):
        for name in self.network.holders():
            self.network.freeze(name)
        self.network.run(2.5)

    @stateful.rule()
    def wake_all(self):
        for name in self.network.nodes_by_id:
            self.network.wake(name)

    @stateful.rule(
        names=strategies.sets(strategies.sampled_from([*RIVALS, 'v2', 'v3']))
    )
    def restart(self, names):
        for name in sorted(names):
            self.network.start(name)
        self.want()

    @stateful.rule(name=strategies.sampled_from(['v1', 'v2', 'v3']))
    def lose_disk(self, name):
        self.network.start(name, loses_disk=True)
        self.want()

    @stateful.invariant()
    def has_one_holder_at_most(self):
        if hasattr(self, 'network'):
            assert not self.network.violations, self.network.violations


LossyLeases.TestCase.settings = settings(
    max_examples=60, stateful_step_count=20, derandomize=True, deadline=None
)
LossyLeasesTest = LossyLeases.TestCase
